package org.mustardlane.cli;

/**
 * The exit codes of the program. The numbers are stable, so that scripts can rely on
 * them.
 */
public enum ExitCode {

	/**
	 * The command succeeded.
	 */
	OK(0, "done"),

	/**
	 * An unexpected error in the program.
	 */
	INTERNAL_ERROR(1, "unexpected error in the program"),

	/**
	 * The command line, a setting or a file is invalid.
	 */
	USAGE(2, "the command line, a setting or a file is invalid"),

	/**
	 * The change was rejected because of findings.
	 */
	REJECTED(3, "the change was rejected because of findings"),

	/**
	 * The change has no effect because it conflicts with an earlier change.
	 */
	LOST_RACE(4, "the change has no effect because it conflicts with an earlier change"),

	/**
	 * Nothing was done because no router, or not the log, can be reached; for
	 * {@code explain}, no line of the call was found.
	 */
	UNAVAILABLE(5, "no router or no log could be reached; nothing was done"),

	/**
	 * The result of a publish is unknown: the change may be in the catalogue.
	 */
	UNKNOWN(6, "the change may be in the catalogue; publish it again with the same --change-id"),

	/**
	 * The command succeeded, but some routers did not reply or the change is not in force
	 * on all routers yet.
	 */
	PARTIAL(7, "done, but some routers did not reply or the change is not in force on all routers yet");

	private final int number;

	private final String description;

	ExitCode(int number, String description) {
		this.number = number;
		this.description = description;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the exit status
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the description of the exit code for the help text.
	 * @return the description
	 */
	public String description() {
		return this.description;
	}

}
