package org.mustardlane.router.target;

/**
 * Stops a request before its first byte is handed to the connection.
 */
final class NotSentException extends RuntimeException {

	/**
	 * Creates the exception.
	 * @param message why nothing may be sent
	 */
	NotSentException(String message) {
		super(message, null, false, false);
	}

}
