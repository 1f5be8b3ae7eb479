package org.mustardlane.router.target;

/**
 * Thrown to stop a request before its first byte is written to the connection.
 */
final class NotSentException extends RuntimeException {

	/**
	 * Creates the exception.
	 * @param message reason why the request must not be sent
	 */
	NotSentException(String message) {
		super(message, null, false, false);
	}

}
