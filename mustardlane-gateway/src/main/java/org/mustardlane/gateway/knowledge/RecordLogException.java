package org.mustardlane.gateway.knowledge;

/**
 * Thrown if a request to the platform's log fails.
 */
public class RecordLogException extends Exception {

	/**
	 * Creates the exception.
	 * @param message the request and the response of the platform
	 */
	public RecordLogException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message the request
	 * @param cause error of the HTTP client
	 */
	public RecordLogException(String message, Throwable cause) {
		super(message, cause);
	}

}
