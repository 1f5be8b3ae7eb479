package org.mustardlane.cli;

import org.mustardlane.protocol.ShowCatalogueAnswer;
import org.mustardlane.protocol.ShowCatalogueRequest;

/**
 * Prints the catalogue as YAML that can be edited and published.
 */
final class ShowCommand implements Command {

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.requireRouter(settings);
		long revision = arguments.longValue(CliOption.REVISION, 1, 0);
		return () -> {
			try (RouterPool pool = new RouterPool(settings)) {
				ShowCatalogueAnswer reply = fetch(pool, revision, settings.timeoutMillis());
				return new ShowReport(reply.getRevision(), reply.getYaml());
			}
		};
	}

	/**
	 * Fetches a revision of the catalogue.
	 * @param pool clients for the routers
	 * @param revision the revision, or 0 for the newest
	 * @param timeoutMillis timeout of the call to one router
	 * @return the reply with the catalogue
	 * @throws CommandException if no router replies with this revision
	 */
	static ShowCatalogueAnswer fetch(RouterPool pool, long revision, long timeoutMillis) throws CommandException {
		ShowCatalogueRequest request = ShowCatalogueRequest.newBuilder().setAtRevision(revision).build();
		return pool.callFirst((client) -> client.show(request, timeoutMillis));
	}

	/**
	 * A revision of the catalogue.
	 *
	 * @param revision the revision
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
