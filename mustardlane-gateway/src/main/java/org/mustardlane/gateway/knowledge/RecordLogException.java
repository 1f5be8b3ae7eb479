package org.mustardlane.gateway.knowledge;

/**
 * Says that the platform's log did not answer a call as wanted.
 */
public class RecordLogException extends Exception {

	/**
	 * Creates the exception.
	 * @param message what was called and what came back
	 */
	public RecordLogException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what was called
	 * @param cause what the HTTP client said
	 */
	public RecordLogException(String message, Throwable cause) {
		super(message, cause);
	}

}
