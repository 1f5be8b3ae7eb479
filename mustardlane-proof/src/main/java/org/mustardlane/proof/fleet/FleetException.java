package org.mustardlane.proof.fleet;

/**
 * A process of the fleet did not do what the harness needs.
 */
public class FleetException extends Exception {

	/**
	 * Creates the exception.
	 * @param message what went wrong
	 */
	public FleetException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what went wrong
	 * @param cause why
	 */
	public FleetException(String message, Throwable cause) {
		super(message, cause);
	}

}
