package org.mustardlane.cli;

import java.util.List;

/**
 * Starts the program.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs the command line and ends the process.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		ExitCode code = new CommandLineTool(System.out, System.err, System.getenv()).run(List.of(arguments));
		System.out.flush();
		System.exit(code.number());
	}

}
