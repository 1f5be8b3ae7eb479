package org.mustardlane.router.peer;

/**
 * Thrown if a frame from another router is malformed.
 */
public class MalformedFrameException extends Exception {

	/**
	 * Creates the exception.
	 * @param message description of the error
	 */
	public MalformedFrameException(String message) {
		super(message);
	}

}
