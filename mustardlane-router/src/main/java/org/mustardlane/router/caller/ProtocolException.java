package org.mustardlane.router.caller;

/**
 * Says that a caller's bytes do not make a request.
 */
class ProtocolException extends Exception {

	private final ProtocolError error;

	/**
	 * Creates the exception.
	 * @param error what is wrong
	 * @param detail what exactly, empty where the error says all
	 */
	ProtocolException(ProtocolError error, String detail) {
		super(detail);
		this.error = error;
	}

	ProtocolError error() {
		return this.error;
	}

}
