package org.mustardlane.proof.fleet;

/**
 * A signal to a process.
 */
public enum Signal {

	/**
	 * Ends the process at once.
	 */
	KILL,

	/**
	 * Asks the process to end.
	 */
	TERM,

	/**
	 * Freezes the process.
	 */
	STOP,

	/**
	 * Lets a frozen process go on.
	 */
	CONT

}
