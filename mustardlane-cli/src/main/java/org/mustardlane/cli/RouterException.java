package org.mustardlane.cli;

/**
 * Thrown when a router did not answer a call.
 */
final class RouterException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient RouterAddress address;

	private final boolean sent;

	RouterException(RouterAddress address, String reason, boolean sent) {
		super("router " + address + ": " + reason);
		this.address = address;
		this.sent = sent;
	}

	RouterAddress address() {
		return this.address;
	}

	/**
	 * Returns whether the router may have taken the call.
	 * @return whether it may
	 */
	boolean isSent() {
		return this.sent;
	}

}
