package org.mustardlane.proof.fleet;

import org.mustardlane.core.model.catalogue.TargetKind;

/**
 * A started target.
 *
 * @param name the name in the catalogue
 * @param kind engine or plain service
 * @param domain the failure domain of the target
 * @param port the port on which the target listens
 * @param routedPort the port in the catalogue, which belongs to a forwarder if there is
 * one
 */
public record TargetHandle(String name, TargetKind kind, String domain, int port, int routedPort) {

	/**
	 * Returns the base URL of the target, without a forwarder in between.
	 * @return the base URL
	 */
	public String url() {
		return "http://127.0.0.1:" + this.port;
	}

}
