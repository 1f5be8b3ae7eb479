package org.mustardlane.proof.fleet;

/**
 * The state of the connections through a forwarder.
 */
public enum LinkState {

	/**
	 * Bytes are forwarded.
	 */
	OPEN,

	/**
	 * Connections stay open but no bytes are forwarded.
	 */
	SILENT,

	/**
	 * Existing and new connections are reset.
	 */
	RESET

}
