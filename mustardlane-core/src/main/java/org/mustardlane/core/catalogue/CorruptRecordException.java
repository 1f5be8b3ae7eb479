package org.mustardlane.core.catalogue;

/**
 * Thrown when the body of a record does not hold what its type says.
 */
public final class CorruptRecordException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is wrong
	 */
	public CorruptRecordException(String message) {
		super(message);
	}

	/**
	 * Creates the exception with its cause.
	 * @param message what is wrong
	 * @param cause the cause
	 */
	public CorruptRecordException(String message, Throwable cause) {
		super(message, cause);
	}

}
