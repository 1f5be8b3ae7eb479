package org.mustardlane.cli;

/**
 * Thrown when a call to a router failed.
 */
final class RouterException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean possiblyReceived;

	private final boolean notFound;

	RouterException(RouterAddress address, String reason, boolean possiblyReceived, boolean notFound) {
		super("router " + address + ": " + reason);
		this.possiblyReceived = possiblyReceived;
		this.notFound = notFound;
	}

	/**
	 * Returns whether the router replied that it does not have the requested object.
	 * @return {@code true} if the router did not find the requested object
	 */
	boolean isNotFound() {
		return this.notFound;
	}

	/**
	 * Returns whether the router may have received and executed the call.
	 * @return {@code false} if the call certainly did not reach the router
	 */
	boolean mayHaveBeenReceived() {
		return this.possiblyReceived;
	}

}
