package org.mustardlane.router.caller;

/**
 * Thrown when a request of a caller is not valid or cannot be accepted.
 */
class ProtocolException extends Exception {

	private final ProtocolError error;

	/**
	 * Creates the exception.
	 * @param error the error to report to the caller
	 * @param detail further detail for the caller, empty if there is none
	 */
	ProtocolException(ProtocolError error, String detail) {
		super(detail);
		this.error = error;
	}

	ProtocolError error() {
		return this.error;
	}

}
