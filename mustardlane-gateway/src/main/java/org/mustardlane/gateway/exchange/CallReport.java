package org.mustardlane.gateway.exchange;

import java.util.List;
import java.util.stream.Collectors;

import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.core.retry.AttemptFailure;
import org.mustardlane.core.retry.NextStep;
import org.mustardlane.gateway.report.CallOutcome;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Writes the course of one call to the log and to the metrics.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class CallReport {

	private final ExchangeContext context;

	private final RoutedCall routedCall;

	private String lastTargetId = "";

	CallReport(ExchangeContext context, RoutedCall routedCall) {
		this.context = context;
		this.routedCall = routedCall;
	}

	/**
	 * Returns the time since the head of the call was read.
	 * @return the time in milliseconds
	 */
	long elapsedMillis() {
		return this.context.nowMillis() - this.routedCall.call().arrivedAtMillis();
	}

	/**
	 * Records the target of the next attempt.
	 * @param targetId id of the target
	 */
	void recordTarget(String targetId) {
		this.lastTargetId = targetId;
	}

	/**
	 * Records the head of a response that is forwarded.
	 */
	void recordResponseStart() {
		this.context.metrics().recordResponseStart(this.routedCall.pool(), elapsedMillis());
	}

	/**
	 * Records an attempt without a usable response.
	 * @param failure how the attempt failed
	 * @param step what follows
	 * @param detail description of the failure
	 * @param counts what the call has led to so far
	 */
	void recordFailedAttempt(AttemptFailure failure, NextStep step, String detail, Counts counts) {
		this.context.metrics().recordFailedAttempt(failure, step);
		this.context.log()
			.write(LogEvent.ATTEMPT_FAILED, "requestId", requestId(), "pool", this.routedCall.pool(), "target",
					this.lastTargetId, "result", failure, "next", step, "runs", counts.possibleExecutions, "sends",
					counts.sends, "events", counts.events, "parts", join(this.routedCall.features().promptParts()),
					"contents", join(this.routedCall.features().contents()), "detail", detail);
	}

	/**
	 * Records that another router has not taken the call over.
	 * @param router the router
	 * @param detail why it has not
	 */
	void recordDeclined(String router, String detail) {
		this.context.log()
			.write(LogEvent.RELAY_DECLINED, "requestId", requestId(), "pool", this.routedCall.pool(), "router", router,
					"elapsedMillis", elapsedMillis(), "detail", detail);
	}

	private static String join(List<CallFeature> features) {
		return features.stream().map(CallFeature::value).collect(Collectors.joining(" "));
	}

	/**
	 * Records the end of the call.
	 * @param outcome outcome of the call
	 * @param status the HTTP status that the caller got, 0 for none
	 * @param detail description of the outcome
	 * @param counts what the call has led to
	 */
	void recordEnd(CallOutcome outcome, int status, String detail, Counts counts) {
		long elapsedMillis = elapsedMillis();
		this.context.metrics().recordCall(outcome, this.routedCall.pool(), elapsedMillis);
		this.context.log()
			.write(LogEvent.CALL_ENDED, "requestId", requestId(), "route", this.routedCall.route().name(), "pool",
					this.routedCall.pool(), "target", this.lastTargetId, "outcome", outcome, "status", status, "runs",
					counts.possibleExecutions, "sends", counts.sends, "elapsedMillis", elapsedMillis, "routesVersion",
					this.routedCall.routesVersion(), "detail", detail);
	}

	private String requestId() {
		return this.routedCall.call().head().requestId();
	}

	/**
	 * What a call has led to so far.
	 *
	 * @param possibleExecutions number of attempts that may have executed the call
	 * @param sends number of attempts
	 * @param events number of events that were forwarded
	 */
	record Counts(int possibleExecutions, int sends, int events) {

	}

}
