package org.mustardlane.gateway.wire;

/**
 * Says that a record of the platform's log can not be understood.
 */
public class MalformedRecordException extends Exception {

	/**
	 * Creates the exception.
	 * @param message what is wrong and where
	 */
	public MalformedRecordException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what is wrong and where
	 * @param cause what a library said
	 */
	public MalformedRecordException(String message, Throwable cause) {
		super(message, cause);
	}

}
