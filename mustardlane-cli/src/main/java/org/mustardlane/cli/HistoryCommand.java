package org.mustardlane.cli;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;

import org.mustardlane.protocol.CatalogueHistoryRow;
import org.mustardlane.protocol.ShowCatalogueRequest;

/**
 * Lists the newest changes of the catalogue with their verdicts.
 */
final class HistoryCommand implements Command {

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.requireRouter(settings);
		ShowCatalogueRequest request = ShowCatalogueRequest.newBuilder().setHistory(true).build();
		return () -> {
			try (RouterPool pool = new RouterPool(settings)) {
				return new HistoryReport(pool.callFirst((client) -> client.show(request, settings.timeoutMillis()))
					.getHistoryList()
					.stream()
					.map(HistoryCommand::toRow)
					.toList());
			}
		};
	}

	private static Row toRow(CatalogueHistoryRow row) {
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
			this.changes.forEach((row) -> table.addRow(row.revision(), row.time(), row.verdict(), row.author(),
					row.changeId(), row.summary()));
			return table.toString();
		}

		@Override
		public ExitCode exitCode() {
			return ExitCode.OK;
		}

	}

	/**
	 * A change in the history.
	 *
	 * @param revision log offset of the change
	 * @param changeId id of the change
	 * @param author name of the author
	 * @param appendedAtMillis time of the append on the clock of the platform
	 * @param verdict whether the change took effect
	 * @param summary one-line summary of the change
	 */
	record Row(long revision, String changeId, String author, long appendedAtMillis, String verdict, String summary) {

		private Instant time() {
			return Instant.ofEpochMilli(this.appendedAtMillis).truncatedTo(ChronoUnit.SECONDS);
		}

	}

}
