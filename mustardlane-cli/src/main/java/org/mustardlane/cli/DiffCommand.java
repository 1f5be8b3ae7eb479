package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.protocol.ShowCatalogueAnswer;

/**
 * Shows the differences between two revisions of the catalogue.
 */
final class DiffCommand implements Command {

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(1, 2, "FROM-REVISION [TO-REVISION]");
		arguments.requireRouter(settings);
		List<Long> revisions = arguments.operands()
			.stream()
			.map((operand) -> parseRevision(arguments, operand))
			.toList();
		return () -> {
			try (RouterPool pool = new RouterPool(settings)) {
				ShowCatalogueAnswer from = ShowCommand.fetch(pool, revisions.get(0), settings.timeoutMillis());
				long toRevision = (revisions.size() > 1) ? revisions.get(1) : 0;
				ShowCatalogueAnswer to = ShowCommand.fetch(pool, toRevision, settings.timeoutMillis());
				return new DiffReport(from.getRevision(), to.getRevision(),
						CatalogueDiff.compare(from.getYaml(), to.getYaml()));
			}
		};
	}

	private static long parseRevision(CliArguments arguments, String operand) {
		boolean isValid = operand.matches("[1-9]\\d{0,17}");
		arguments.require(isValid, "'%s' is not a revision".formatted(operand));
		return isValid ? Long.parseLong(operand) : 0;
	}

	/**
	 * The differences between two revisions.
	 *
	 * @param from the older revision
	 * @param to the newer revision
	 * @param differences one line for each added item (+), removed item (-) or changed
	 * field (~)
	 */
	record DiffReport(long from, long to, List<String> differences) implements Report {

		@Override
		public String text() {
			if (this.differences.isEmpty()) {
				return "no difference between revisions %d and %d%n".formatted(this.from, this.to);
			}
			return String.join("\n", this.differences) + "\n";
		}

		@Override
		public ExitCode exitCode() {
			return ExitCode.OK;
		}

	}

}
