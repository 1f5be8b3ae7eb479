package org.mustardlane.proof.fleet;

/**
 * A router that the harness has started.
 *
 * @param vm the name of its VM
 * @param domain its failure domain
 * @param process the process
 * @param callerPort port for callers
 * @param peerPort port for other routers
 * @param operatorPort port for operators
 * @param metricsPort port for metrics and health
 */
public record RouterHandle(String vm, String domain, ManagedProcess process, int callerPort, int peerPort,
		int operatorPort, int metricsPort) {

	/**
	 * Returns the address for callers.
	 * @return the address
	 */
	public String url() {
		return "http://127.0.0.1:" + this.callerPort;
	}

	/**
	 * Returns the address for metrics and health.
	 * @return the address
	 */
	public String metricsUrl() {
		return "http://127.0.0.1:" + this.metricsPort;
	}

}
