package org.mustardlane.proof.fleet;

/**
 * What becomes of the connections through a forwarder.
 */
public enum LinkState {

	/**
	 * They are passed on.
	 */
	OPEN,

	/**
	 * They stay open and nothing passes.
	 */
	SILENT,

	/**
	 * They are reset, and so is every new one.
	 */
	RESET

}
