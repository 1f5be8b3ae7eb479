package org.mustardlane.cli;

/**
 * Thrown when a router did not answer a call.
 */
final class RouterException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean sent;

	private final boolean notFound;

	RouterException(RouterAddress address, String reason, boolean sent, boolean notFound) {
		super("router " + address + ": " + reason);
		this.sent = sent;
		this.notFound = notFound;
	}

	/**
	 * Returns whether the router does not hold what was asked for.
	 * @return whether it answered so
	 */
	boolean isNotFound() {
		return this.notFound;
	}

	/**
	 * Returns whether the router may have taken the call.
	 * @return whether it may
	 */
	boolean isSent() {
		return this.sent;
	}

}
