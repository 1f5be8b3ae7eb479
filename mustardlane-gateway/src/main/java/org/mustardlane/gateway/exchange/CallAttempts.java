package org.mustardlane.gateway.exchange;

import org.mustardlane.core.retry.AttemptFailure;
import org.mustardlane.core.retry.CallState;
import org.mustardlane.core.retry.NextStep;
import org.mustardlane.core.retry.RetryRules;

/**
 * Counts the attempts of one call and decides whether a further one is allowed.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class CallAttempts {

	private final ExchangeContext context;

	private final RoutedCall routedCall;

	private final CallTargets callTargets;

	private final ResponseSink responseSink;

	private int possibleExecutions;

	private int sends;

	CallAttempts(ExchangeContext context, RoutedCall routedCall, CallTargets callTargets, ResponseSink responseSink) {
		this.context = context;
		this.routedCall = routedCall;
		this.callTargets = callTargets;
		this.responseSink = responseSink;
	}

	/**
	 * Records that the call is sent to a target.
	 */
	void recordSend() {
		this.sends++;
	}

	/**
	 * Records that an attempt may have executed the call.
	 */
	void recordPossibleExecution() {
		this.possibleExecutions++;
	}

	boolean mayHaveExecuted() {
		return this.possibleExecutions > 0;
	}

	/**
	 * Decides what follows a failed attempt. A retry is deducted from the retry budget.
	 * @param failure how the attempt failed
	 * @return the next step
	 */
	NextStep nextStep(AttemptFailure failure) {
		NextStep step = RetryRules.nextStep(state(this.possibleExecutions), failure);
		if (step == NextStep.GIVE_UP || step == NextStep.RELAY) {
			return step;
		}
		if (!this.responseSink.canResume()) {
			return NextStep.GIVE_UP;
		}
		if (step == NextStep.RETRY_WITHIN_BUDGET
				&& !(this.callTargets.hasCandidate() && this.context.tryAcquireRetry(this.routedCall.pool()))) {
			return (failure == AttemptFailure.FAILURE_ANSWERED) ? NextStep.RELAY : NextStep.GIVE_UP;
		}
		return step;
	}

	/**
	 * Reserves a retry at another target to replace the current attempt, which has not
	 * ended.
	 * @param executionCounted whether the attempt is already counted as a possible
	 * execution
	 * @return true if the retry is allowed, in which case it is deducted from the retry
	 * budget
	 */
	boolean tryReserveRetry(boolean executionCounted) {
		CallState stateWithAttempt = state(executionCounted ? this.possibleExecutions : this.possibleExecutions + 1);
		return this.callTargets.hasCandidate() && this.responseSink.canResume()
				&& RetryRules.canRunAgain(stateWithAttempt) && this.context.tryAcquireRetry(this.routedCall.pool());
	}

	private CallState state(int executions) {
		return new CallState(this.routedCall.route().semantics(), executions, this.routedCall.maxRuns(), this.sends);
	}

	CallReport.Counts counts() {
		return new CallReport.Counts(this.possibleExecutions, this.sends, this.responseSink.eventCount());
	}

}
