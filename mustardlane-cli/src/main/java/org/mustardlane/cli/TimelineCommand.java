package org.mustardlane.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.model.timeline.TimelineEvent;
import org.mustardlane.core.timeline.TimelineHtml;
import org.mustardlane.core.timeline.TimelineMerge;
import org.mustardlane.core.timeline.TimelineText;
import org.mustardlane.protocol.TimelineRequest;

/**
 * Merges the events of all named routers into one timeline.
 */
final class TimelineCommand implements Command {

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.requireRouter(settings);
		TimelineRequest request = TimelineRequest.newBuilder()
			.setRequestId(arguments.value(CliOption.REQUEST).orElse(""))
			.build();
		Optional<String> html = arguments.value(CliOption.HTML);
		return () -> {
			try (RouterPool pool = new RouterPool(settings)) {
				List<TimelineEvent> events = TimelineMerge
					.merge(pool.callAll((client) -> client.timeline(request, settings.timeoutMillis())));
				if (html.isPresent()) {
					writeFile(html.get(), TimelineHtml.render(events));
				}
				return new TimelineReport(events, html.orElse(""), pool.warnings());
			}
		};
	}

	private static void writeFile(String file, String text) throws CommandException {
		try {
			Files.writeString(Path.of(file), text);
		}
		catch (IOException | InvalidPathException ex) {
			throw new CommandException(ExitCode.USAGE,
					"file %s can not be written: %s".formatted(file, ex.getClass().getSimpleName()));
		}
	}

	/**
	 * A timeline.
	 *
	 * @param events the events, in causal order
	 * @param htmlFile the HTML file that was written, or empty if there is none
	 * @param warnings error messages of the calls that failed
	 */
	record TimelineReport(List<TimelineEvent> events, String htmlFile, List<String> warnings) implements Report {

		@Override
		public String text() {
			String body = this.htmlFile.isEmpty() ? TimelineText.format(this.events)
					: "wrote %d events to %s%n".formatted(this.events.size(), this.htmlFile);
			return body + this.warnings.stream().map((warning) -> warning + "\n").reduce("", String::concat);
		}

		@Override
		public ExitCode exitCode() {
			return this.warnings.isEmpty() ? ExitCode.OK : ExitCode.PARTIAL;
		}

	}

}
