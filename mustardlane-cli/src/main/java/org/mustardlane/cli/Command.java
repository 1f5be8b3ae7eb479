package org.mustardlane.cli;

/**
 * One command of the program.
 */
interface Command {

	/**
	 * Reads and checks what the command needs from the command line; what is wrong is
	 * collected in the arguments.
	 * @param arguments the command line
	 * @param settings the settings that all commands share
	 * @return the command, ready to run
	 */
	Step prepare(CliArguments arguments, CliSettings settings);

	/**
	 * A command that is ready to run.
	 */
	interface Step {

		/**
		 * Runs the command.
		 * @return what it has to say
		 * @throws CommandException if it can not be carried out
		 */
		Report run() throws CommandException;

	}

}
