package org.mustardlane.cli;

/**
 * What a command has to say; its fields are the JSON output.
 */
interface Report {

	/**
	 * Writes the report for people.
	 * @return the text, with a line break at its end
	 */
	String text();

	/**
	 * Returns how the program ends.
	 * @return the exit code
	 */
	ExitCode exitCode();

}
