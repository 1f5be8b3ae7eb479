package org.mustardlane.cli;

/**
 * How the program ends; scripts may rely on the numbers.
 */
public enum ExitCode {

	/**
	 * Done.
	 */
	OK(0, "done"),

	/**
	 * An error of the program itself.
	 */
	INTERNAL_ERROR(1, "an error of the program itself"),

	/**
	 * The command line is wrong.
	 */
	USAGE(2, "the command line, a setting or a file is wrong"),

	/**
	 * The change has findings.
	 */
	REJECTED(3, "the change has findings; it is not in the catalogue"),

	/**
	 * Another change came first.
	 */
	LOST_RACE(4, "another change of the same item came first; this one has no effect"),

	/**
	 * Nothing was done, because a router or the log can not be reached.
	 */
	UNAVAILABLE(5, "no router or no log could be reached; nothing was done"),

	/**
	 * The change may be in the catalogue.
	 */
	UNKNOWN(6, "the change may be in the catalogue; publish it again with the same --change-id"),

	/**
	 * Some routers did not answer or do not follow yet.
	 */
	PARTIAL(7, "done, but some routers did not answer or have not followed in time");

	private final int number;

	private final String meaning;

	ExitCode(int number, String meaning) {
		this.number = number;
		this.meaning = meaning;
	}

	/**
	 * Returns the number that the process ends with.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns what the number means.
	 * @return the meaning, for the help text
	 */
	public String meaning() {
		return this.meaning;
	}

}
