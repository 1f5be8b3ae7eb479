package org.mustardlane.cli;

import org.mustardlane.protocol.ShowCatalogueAnswer;
import org.mustardlane.protocol.ShowCatalogueRequest;

/**
 * Shows the catalogue as YAML that can be edited and published.
 */
final class ShowCommand implements Command {

	@Override
	public Step prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.requireRouter(settings);
		long revision = arguments.number(CliOption.REVISION, 1, 0);
		return () -> {
			try (RouterPool pool = new RouterPool(settings)) {
				ShowCatalogueAnswer answer = fetch(pool, revision, settings.timeoutMillis());
				return new ShowReport(answer.getRevision(), answer.getYaml());
			}
		};
	}

	/**
	 * Fetches a catalogue.
	 * @param pool the routers
	 * @param revision the revision, 0 for the newest
	 * @param timeoutMillis longest wait
	 * @return the catalogue
	 * @throws CommandException if no router answers with this revision
	 */
	static ShowCatalogueAnswer fetch(RouterPool pool, long revision, long timeoutMillis) throws CommandException {
		ShowCatalogueRequest request = ShowCatalogueRequest.newBuilder().setAtRevision(revision).build();
		return pool.first((client) -> client.show(request, timeoutMillis));
	}

	/**
	 * A catalogue.
	 *
	 * @param revision its revision
	 * @param yaml the catalogue as YAML
	 */
	record ShowReport(long revision, String yaml) implements Report {

		@Override
		public String text() {
			return this.yaml;
		}

		@Override
		public ExitCode exitCode() {
			return ExitCode.OK;
		}

	}

}
