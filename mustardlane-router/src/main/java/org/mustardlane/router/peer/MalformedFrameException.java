package org.mustardlane.router.peer;

/**
 * Says that a frame of another router is not as agreed.
 */
public class MalformedFrameException extends Exception {

	/**
	 * Creates the exception.
	 * @param message what is wrong
	 */
	public MalformedFrameException(String message) {
		super(message);
	}

}
