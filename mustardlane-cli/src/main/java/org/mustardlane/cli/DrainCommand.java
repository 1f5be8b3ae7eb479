package org.mustardlane.cli;

import org.mustardlane.protocol.DrainAnswer;
import org.mustardlane.protocol.DrainRequest;

/**
 * Drains a router: the router stops after its requests in flight have ended.
 */
final class DrainCommand implements Command {

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.require(settings.routers().size() == 1, "--router: name exactly one router to drain");
		long drainMillis = arguments.longValue(CliOption.DRAIN_MILLIS, 1, 0);
		return () -> {
			long deadlineMillis = (drainMillis > 0) ? System.currentTimeMillis() + drainMillis : 0;
			DrainRequest request = DrainRequest.newBuilder().setDeadlineMillis(deadlineMillis).build();
			try (RouterPool pool = new RouterPool(settings)) {
				DrainAnswer reply = pool.callFirst((client) -> client.drain(request, settings.timeoutMillis()));
				return new DrainReport(settings.routers().get(0).toString(), reply.getRequestsInFlight());
			}
		};
	}

	/**
	 * A router that has started to drain.
	 *
	 * @param router operator address of the router
	 * @param requestsInFlight number of requests in flight at the start of the drain
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
