package org.mustardlane.cli;

/**
 * One command of the program.
 */
interface Command {

	/**
	 * Reads and validates the operands and flags of the command, and adds findings for
	 * invalid ones to the arguments.
	 * @param arguments the arguments of the program
	 * @param settings settings that all commands share
	 * @return the prepared command; it must not run if there are findings
	 */
	PreparedCommand prepare(CliArguments arguments, CliSettings settings);

	/**
	 * A command with valid arguments, ready to run.
	 */
	interface PreparedCommand {

		/**
		 * Runs the command.
		 * @return the result of the command
		 * @throws CommandException if the command fails
		 */
		Report run() throws CommandException;

	}

}
