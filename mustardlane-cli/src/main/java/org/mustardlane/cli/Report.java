package org.mustardlane.cli;

/**
 * The result of a command. The record components of an implementation are the fields of
 * the JSON output.
 */
interface Report {

	/**
	 * Formats the report as plain text.
	 * @return the text, which ends with a line break unless it is empty
	 */
	String text();

	/**
	 * Returns the exit code that this result leads to.
	 * @return the exit code
	 */
	ExitCode exitCode();

}
