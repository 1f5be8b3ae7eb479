package org.mustardlane.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Shows the lines in the logs of several gateways that explain one call: the lines of the
 * call, and the lines about the state of its VMs and targets from shortly before the call
 * until its end.
 */
final class ExplainCommand implements Command {

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(2, Integer.MAX_VALUE, "REQUEST-ID FILE...");
		return () -> {
			String requestId = arguments.operands().get(0);
			List<LogLine> lines = new ArrayList<>();
			for (String file : arguments.operands().subList(1, arguments.operands().size())) {
				lines.addAll(readLines(file));
			}
			return new ExplainReport(requestId, CallTrace.select(requestId, lines));
		};
	}

	private static List<LogLine> readLines(String file) throws CommandException {
		try (Stream<String> text = Files.lines(Path.of(file), StandardCharsets.UTF_8)) {
			return text.flatMap((line) -> LogLine.parse(line).stream()).toList();
		}
		catch (IOException | InvalidPathException ex) {
			throw new CommandException(ExitCode.USAGE,
					"file %s can not be read: %s".formatted(file, ex.getClass().getSimpleName()));
		}
	}

	/**
	 * The log lines that explain a call.
	 *
	 * @param requestId request id of the call
	 * @param lines the lines of the call and its context, sorted by time
	 */
	record ExplainReport(String requestId, List<LogLine> lines) implements Report {

		@Override
		public String text() {
			if (this.lines.isEmpty()) {
				return "no line found for request %s%n".formatted(this.requestId);
			}
			StringBuilder text = new StringBuilder();
			this.lines.forEach((line) -> text.append(line.text()).append('\n'));
			return text.toString();
		}

		@Override
		public ExitCode exitCode() {
			return this.lines.isEmpty() ? ExitCode.UNAVAILABLE : ExitCode.OK;
		}

	}

}
