package org.mustardlane.gateway.wire;

/**
 * Says that the head of a call can not be understood.
 */
public class MalformedCallException extends Exception {

	/**
	 * Creates the exception.
	 * @param message what is wrong and where
	 */
	public MalformedCallException(String message) {
		super(message);
	}

}
