package org.mustardlane.proof.fleet;

/**
 * A started router process.
 *
 * @param vm the VM name of the router
 * @param domain the failure domain of the router
 * @param process the router process
 * @param callerPort port on which callers send requests
 * @param peerPort port on which other routers reach this one, which belongs to a
 * forwarder
 * @param operatorPort port for operators
 * @param metricsPort port for metrics and health
 */
public record RouterHandle(String vm, String domain, ManagedProcess process, int callerPort, int peerPort,
		int operatorPort, int metricsPort) {

	/**
	 * Returns the base URL for callers.
	 * @return the base URL
	 */
	public String url() {
		return "http://127.0.0.1:" + this.callerPort;
	}

	/**
	 * Returns the base URL for metrics and health.
	 * @return the base URL
	 */
	public String metricsUrl() {
		return "http://127.0.0.1:" + this.metricsPort;
	}

}
