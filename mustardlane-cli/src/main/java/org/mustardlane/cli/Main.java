package org.mustardlane.cli;

import java.util.List;

/**
 * Entry point of the command-line tool.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs a command and exits with its exit code.
	 * @param arguments the command-line arguments
	 */
	public static void main(String[] arguments) {
		ExitCode code = new CommandLineTool(System.out, System.err, System.getenv()).run(List.of(arguments));
		System.out.flush();
		System.exit(code.number());
	}

}
