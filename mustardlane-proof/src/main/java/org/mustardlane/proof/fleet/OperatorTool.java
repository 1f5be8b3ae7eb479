package org.mustardlane.proof.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Runs the command-line tool of the operators as a process of its own.
 */
public final class OperatorTool {

	private static final String MAIN_CLASS = "org.mustardlane.cli.Main";

	private static final int HEAP_MEBIBYTES = 64;

	private final List<RouterHandle> routers;

	/**
	 * Creates the tool.
	 * @param routers the routers that it is told of
	 */
	public OperatorTool(List<RouterHandle> routers) {
		this.routers = List.copyOf(routers);
	}

	/**
	 * Runs a command and shows what it prints.
	 * @param command the command and its flags
	 * @return its exit code
	 * @throws FleetException if it does not run
	 */
	public int run(List<String> command) throws FleetException {
		List<String> args = new ArrayList<>(command);
		args.add("--router");
		args.add(this.routers.stream()
			.map((router) -> "127.0.0.1:" + router.operatorPort())
			.collect(Collectors.joining(",")));
		try {
			return new ProcessBuilder(JavaCommand.of(HEAP_MEBIBYTES, MAIN_CLASS, args))
				.redirectOutput(ProcessBuilder.Redirect.INHERIT)
				.redirectError(ProcessBuilder.Redirect.INHERIT)
				.start()
				.waitFor();
		}
		catch (IOException ex) {
			throw new FleetException("the command-line tool does not start", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

}
