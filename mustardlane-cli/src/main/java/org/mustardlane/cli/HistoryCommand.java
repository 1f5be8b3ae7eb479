package org.mustardlane.cli;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;

import org.mustardlane.protocol.CatalogueHistoryRow;
import org.mustardlane.protocol.ShowCatalogueRequest;

/**
 * Lists the newest changes of the catalogue.
 */
final class HistoryCommand implements Command {

	@Override
	public Step prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.requireRouter(settings);
		ShowCatalogueRequest request = ShowCatalogueRequest.newBuilder().setHistory(true).build();
		return () -> {
			try (RouterPool pool = new RouterPool(settings)) {
				return new HistoryReport(pool.first((client) -> client.show(request, settings.timeoutMillis()))
					.getHistoryList()
					.stream()
					.map(HistoryCommand::row)
					.toList());
			}
		};
	}

	private static Row row(CatalogueHistoryRow row) {
		return new Row(row.getRevision(), row.getChangeId(), row.getAuthor(), row.getAppendedAtMillis(),
				row.getVerdict(), row.getSummary());
	}

	/**
	 * The newest changes.
	 *
	 * @param changes the changes, oldest first
	 */
	record HistoryReport(List<Row> changes) implements Report {

		@Override
		public String text() {
			TextTable table = new TextTable("REVISION", "TIME (UTC)", "VERDICT", "AUTHOR", "CHANGE", "SUMMARY");
			this.changes.forEach((row) -> table.row(row.revision(), row.time(), row.verdict(), row.author(),
					row.changeId(), row.summary()));
			return table.toString();
		}

		@Override
		public ExitCode exitCode() {
			return ExitCode.OK;
		}

	}

	/**
	 * A change.
	 *
	 * @param revision its log offset
	 * @param changeId its name
	 * @param author who published it
	 * @param appendedAtMillis when it was appended
	 * @param verdict what became of it
	 * @param summary the change in a few words
	 */
	record Row(long revision, String changeId, String author, long appendedAtMillis, String verdict, String summary) {

		private Instant time() {
			return Instant.ofEpochMilli(this.appendedAtMillis).truncatedTo(ChronoUnit.SECONDS);
		}

	}

}
