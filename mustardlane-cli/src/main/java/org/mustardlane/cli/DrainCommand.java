package org.mustardlane.cli;

import org.mustardlane.protocol.DrainAnswer;
import org.mustardlane.protocol.DrainRequest;

/**
 * Stops a router after the requests that are in flight on it.
 */
final class DrainCommand implements Command {

	@Override
	public Step prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.require(settings.routers().size() == 1, "--router: name exactly one router to drain");
		long drainMillis = arguments.number(CliOption.DRAIN_MILLIS, 1, 0);
		return () -> {
			long deadlineMillis = (drainMillis > 0) ? System.currentTimeMillis() + drainMillis : 0;
			DrainRequest request = DrainRequest.newBuilder().setDeadlineMillis(deadlineMillis).build();
			try (RouterPool pool = new RouterPool(settings)) {
				DrainAnswer answer = pool.first((client) -> client.drain(request, settings.timeoutMillis()));
				return new DrainReport(settings.routers().get(0).toString(), answer.getRequestsInFlight());
			}
		};
	}

	/**
	 * A router that is stopping.
	 *
	 * @param router its operator address
	 * @param requestsInFlight requests that it finishes first
	 */
	record DrainReport(String router, int requestsInFlight) implements Report {

		@Override
		public String text() {
			return "router %s is draining, %d requests in flight%n".formatted(this.router, this.requestsInFlight);
		}

		@Override
		public ExitCode exitCode() {
			return ExitCode.OK;
		}

	}

}
