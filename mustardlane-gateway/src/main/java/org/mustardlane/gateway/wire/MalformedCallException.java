package org.mustardlane.gateway.wire;

/**
 * Thrown if the head of a call is malformed.
 */
public class MalformedCallException extends Exception {

	/**
	 * Creates the exception.
	 * @param message the header or part of the head, and what is wrong with it
	 */
	public MalformedCallException(String message) {
		super(message);
	}

}
