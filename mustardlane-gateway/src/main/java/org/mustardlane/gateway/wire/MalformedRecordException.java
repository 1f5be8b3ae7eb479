package org.mustardlane.gateway.wire;

/**
 * Thrown if a record of the platform's log is malformed.
 */
public class MalformedRecordException extends Exception {

	/**
	 * Creates the exception.
	 * @param message the field of the record, and what is wrong with it
	 */
	public MalformedRecordException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message the field of the record, and what is wrong with it
	 * @param cause error of the parser
	 */
	public MalformedRecordException(String message, Throwable cause) {
		super(message, cause);
	}

}
