package org.mustardlane.proof.fleet;

/**
 * A POSIX signal; the names are passed to the {@code kill} command.
 */
public enum Signal {

	/**
	 * Kills the process.
	 */
	KILL,

	/**
	 * Requests the process to terminate.
	 */
	TERM,

	/**
	 * Suspends the process.
	 */
	STOP,

	/**
	 * Resumes a suspended process.
	 */
	CONT

}
