package org.mustardlane.proof.fleet;

/**
 * Thrown when a process of the fleet fails or does not reach an expected state in time.
 */
public class FleetException extends Exception {

	/**
	 * Creates the exception.
	 * @param message the description of the failure
	 */
	public FleetException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message the description of the failure
	 * @param cause the cause
	 */
	public FleetException(String message, Throwable cause) {
		super(message, cause);
	}

}
