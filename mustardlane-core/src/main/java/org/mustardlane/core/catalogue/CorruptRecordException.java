package org.mustardlane.core.catalogue;

/**
 * Thrown when the body of a record can not be decoded as its type or violates a rule of
 * the catalogue.
 */
public final class CorruptRecordException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception without a cause.
	 * @param message description of the error
	 */
	public CorruptRecordException(String message) {
		super(message);
	}

	/**
	 * Creates the exception with a cause.
	 * @param message description of the error
	 * @param cause the underlying error
	 */
	public CorruptRecordException(String message, Throwable cause) {
		super(message, cause);
	}

}
