package org.mustardlane.proof.fleet;

import org.mustardlane.core.model.catalogue.TargetKind;

/**
 * A target that the harness has started.
 *
 * @param name its name in the catalogue
 * @param kind engine or plain service
 * @param domain its failure domain
 * @param port the port of its process
 * @param routedPort the port in the catalogue, which is that of a forwarder
 */
public record TargetHandle(String name, TargetKind kind, String domain, int port, int routedPort) {

	/**
	 * Returns the address of its process.
	 * @return the address
	 */
	public String url() {
		return "http://127.0.0.1:" + this.port;
	}

}
