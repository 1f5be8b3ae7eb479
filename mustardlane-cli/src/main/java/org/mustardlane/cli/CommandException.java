package org.mustardlane.cli;

/**
 * Thrown when a command fails; carries the exit code of the program.
 */
final class CommandException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	CommandException(ExitCode exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	ExitCode exitCode() {
		return this.exitCode;
	}

}
