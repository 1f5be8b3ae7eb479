package org.mustardlane.proof.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Runs the operators' command-line tool as a separate process.
 */
public final class OperatorCli {

	private static final String MAIN_CLASS = "org.mustardlane.cli.Main";

	private static final int HEAP_MEBIBYTES = 64;

	private final List<RouterHandle> routers;

	/**
	 * Creates a runner of the command-line tool.
	 * @param routers the routers to pass with {@code --router}
	 */
	public OperatorCli(List<RouterHandle> routers) {
		this.routers = List.copyOf(routers);
	}

	/**
	 * Runs a command with its output going to the output of this process.
	 * @param command the command and its flags
	 * @return the exit code
	 * @throws FleetException if the command cannot be run
	 */
	public int run(List<String> command) throws FleetException {
		List<String> args = new ArrayList<>(command);
		args.add("--router");
		args.add(this.routers.stream()
			.map((router) -> "127.0.0.1:" + router.operatorPort())
			.collect(Collectors.joining(",")));
		try {
			return new ProcessBuilder(JavaCommand.fastStartCommand(HEAP_MEBIBYTES, MAIN_CLASS, args))
				.redirectOutput(ProcessBuilder.Redirect.INHERIT)
				.redirectError(ProcessBuilder.Redirect.INHERIT)
				.start()
				.waitFor();
		}
		catch (IOException ex) {
			throw new FleetException("the command-line tool cannot be started", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

}
