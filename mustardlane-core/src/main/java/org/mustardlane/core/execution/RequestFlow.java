package org.mustardlane.core.execution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.event.AbortAnswer;
import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.AttemptHeadReceived;
import org.mustardlane.core.event.FinishAnswer;
import org.mustardlane.core.event.JoinEnded;
import org.mustardlane.core.event.KeepAnswer;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.RefuseRequest;
import org.mustardlane.core.event.SendStoredAnswer;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * The state machine of one request: claim, grant, attempts, response.
 *
 * <p>
 * Whether a request may have run follows from the state of its attempts alone: an attempt
 * counts as run from the moment it is handed to the adapter until the adapter or the
 * target reports that the request was not started. Not thread-safe: guarded by the lock
 * of the request table.
 */
final class RequestFlow {

	private static final int MAX_STORED_RESPONSE_BYTES = 4096;

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final AcceptedRequest accepted;

	private final ClaimStage claim;

	private final AttemptSet attempts;

	private boolean responseEnded;

	private boolean callerDisconnected;

	RequestFlow(AcceptedRequest accepted, long nowMillis) {
		this.accepted = accepted;
		this.attempts = new AttemptSet(accepted);
		this.claim = new ClaimStage(accepted, nowMillis);
	}

	AcceptedRequest accepted() {
		return this.accepted;
	}

	/**
	 * Tells whether the request is finished and can be removed.
	 * @return true once the caller has its final response or is gone, and neither a join
	 * nor an attempt is active
	 */
	boolean isFinished() {
		return !isCallerWaiting() && !this.claim.isJoining() && this.attempts.allEnded();
	}

	boolean isCallerWaiting() {
		return !this.responseEnded && !this.callerDisconnected;
	}

	List<NodeAction> start(FlowContext context, long nowMillis) {
		return this.claim.isPending() ? this.claim.sendRequest(context, nowMillis) : addAttempt(context, nowMillis);
	}

	List<NodeAction> handleClaimReply(ClaimReply reply, FlowContext context, long nowMillis) {
		if (!isClaiming() || !this.claim.isReplyTo(reply)) {
			return List.of();
		}
		switch (reply.verdict()) {
			case HELD:
				return startWithClaim(reply.offset(), context, nowMillis);
			case HELD_BY_OTHER:
				return join(reply);
			case COMPLETED:
				return sendStoredResponse(reply);
			case BODY_DIFFERS:
				return refuse(Outcome.NOT_RUN, RefusalCode.KEY_REUSED, "the key was used with another body", 0);
			case UNAVAILABLE:
				return refuse(this.claim.unavailableRefusal(reply.retryAfterMillis()));
			default:
				this.claim.scheduleRetry(nowMillis);
				return List.of();
		}
	}

	private boolean isClaiming() {
		return isCallerWaiting() && this.claim.isPending();
	}

	private List<NodeAction> startWithClaim(long offset, FlowContext context, long nowMillis) {
		this.claim.acquire(offset);
		return Actions.concat(List.of(new KeepAnswer(this.accepted.id(), MAX_STORED_RESPONSE_BYTES)),
				addAttempt(context, nowMillis));
	}

	private List<NodeAction> join(ClaimReply reply) {
		return this.claim.join(reply)
			.map(List::of)
			.orElseGet(() -> refuse(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE, "the request is claimed",
					RETRY_AFTER_MILLIS));
	}

	private List<NodeAction> sendStoredResponse(ClaimReply reply) {
		Optional<StoredResponse> stored = reply.response().filter((candidate) -> candidate.status() != 0);
		if (stored.isEmpty()) {
			return refuse(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE, "the request has run, its answer is not kept", 0);
		}
		this.responseEnded = true;
		return List.of(new SendStoredAnswer(this.accepted.id(), stored.get()));
	}

	/**
	 * Handles the end of a joined response, which another request produces.
	 * @param event the end of the join
	 * @param nowMillis the current time
	 * @return the actions to carry out
	 */
	List<NodeAction> handleJoinEnd(JoinEnded event, long nowMillis) {
		this.claim.stopJoining();
		if (!isCallerWaiting()) {
			return List.of();
		}
		if (event.complete()) {
			this.responseEnded = true;
			return List.of(new FinishAnswer(this.accepted.id()));
		}
		if (event.deliveredBytes() > 0) {
			return abort(RefusalCode.HOLDER_GONE, "the router that answers is gone");
		}
		if (!this.claim.retryAfterJoin(nowMillis)) {
			return refuse(this.claim.unavailableRefusal(RETRY_AFTER_MILLIS));
		}
		return List.of();
	}

	List<NodeAction> handleGrantReply(GrantReply reply, FlowContext context, long nowMillis) {
		Optional<Attempt> waitingAttempt = this.attempts.findWaitingForGrant(reply.attempt());
		if (waitingAttempt.isEmpty() || !isCallerWaiting()) {
			return releaseIfUnused(reply, context);
		}
		Attempt attempt = waitingAttempt.get();
		switch (reply.verdict()) {
			case GRANTED:
				return startWithGrant(attempt, reply, context, nowMillis);
			case REDIRECTED:
				return attempt.requester().followRedirection(reply, context, nowMillis);
			case REFUSED:
				return handleRefusedGrant(attempt, reply, context, nowMillis);
			default:
				attempt.requester().scheduleRetry(nowMillis);
				return List.of();
		}
	}

	private List<NodeAction> releaseIfUnused(GrantReply reply, FlowContext context) {
		boolean isUsed = this.attempts.holdsGrant(reply.grantId());
		return (reply.grantId() == 0 || isUsed) ? List.of() : GrantReleases.releaseUnused(reply, context);
	}

	private List<NodeAction> startWithGrant(Attempt attempt, GrantReply reply, FlowContext context, long nowMillis) {
		Optional<Target> target = reply.target().map((id) -> context.catalogue().targets().get(id));
		if (target.isEmpty()) {
			attempt.requester().scheduleRetry(nowMillis);
			return GrantReleases.releaseUnused(reply, context);
		}
		return attempt.start(reply, target.get(), this.claim.offset(), nowMillis);
	}

	private List<NodeAction> handleRefusedGrant(Attempt attempt, GrantReply reply, FlowContext context,
			long nowMillis) {
		List<NodeAction> ended = attempt.end(false, ReleaseCause.UNUSED, context, nowMillis);
		if (this.attempts.anyRunning()) {
			return ended;
		}
		return Actions.concat(ended, endWithoutResponse(reply.refusalCode().orElse(RefusalCode.OVERLOADED),
				"the deadline can not be met at the present load", reply.retryAfterMillis(), context, nowMillis));
	}

	List<NodeAction> handleHead(AttemptHeadReceived event, FlowContext context, long nowMillis) {
		Optional<Attempt> runningAttempt = this.attempts.findRunning(event.attempt());
		if (runningAttempt.isEmpty()) {
			return List.of();
		}
		Attempt attempt = runningAttempt.get();
		attempt.recordHead(event.generationId());
		if (this.accepted.entry().idempotent() && event.status() >= MIN_SERVER_ERROR_STATUS) {
			List<NodeAction> cancelled = attempt.cancel(context, nowMillis);
			return Actions.concat(cancelled,
					handleFailedAttempt(attempt, "status " + event.status(), context, nowMillis));
		}
		return this.attempts.forward(attempt, context, nowMillis);
	}

	void handleBytes(int attemptNumber, long totalBytes, FlowContext context, long nowMillis) {
		this.attempts.findRunning(attemptNumber)
			.filter((attempt) -> attempt.recordBytes(totalBytes, nowMillis))
			.ifPresent((attempt) -> context.firstTokenTimes()
				.add(this.accepted.entry().name(), attempt.firstTokenMillis()));
	}

	List<NodeAction> handleAttemptEnd(AttemptEnded event, FlowContext context, long nowMillis) {
		Optional<Attempt> runningAttempt = this.attempts.findRunning(event.attempt());
		if (runningAttempt.isEmpty()) {
			return List.of();
		}
		Attempt attempt = runningAttempt.get();
		switch (event.result()) {
			case WHOLE:
				return handleCompletedAttempt(attempt, event, context, nowMillis);
			case NOT_SENT, UNREACHABLE, REFUSED:
				List<NodeAction> released = attempt.end(false, releaseCauseOf(event.result()), context, nowMillis);
				return Actions.concat(released, handleFailedAttempt(attempt, event.detail(), context, nowMillis));
			default:
				return handleInterruptedAttempt(attempt, event, context, nowMillis);
		}
	}

	private static ReleaseCause releaseCauseOf(AttemptResult result) {
		return (result == AttemptResult.NOT_SENT) ? ReleaseCause.UNUSED : ReleaseCause.FAILED;
	}

	private List<NodeAction> handleCompletedAttempt(Attempt attempt, AttemptEnded event, FlowContext context,
			long nowMillis) {
		List<NodeAction> actions = new ArrayList<>(attempt.end(true, ReleaseCause.COMPLETED, context, nowMillis));
		actions.addAll(this.claim.complete(event, context));
		if (isCallerWaiting()) {
			this.responseEnded = true;
			actions.add(new FinishAnswer(this.accepted.id()));
		}
		return actions;
	}

	private List<NodeAction> handleInterruptedAttempt(Attempt attempt, AttemptEnded event, FlowContext context,
			long nowMillis) {
		if (event.result() == AttemptResult.BROKEN_UNSEEN) {
			this.attempts.resetForwarded();
		}
		boolean mayResume = event.result() == AttemptResult.BROKEN && isCallerWaiting();
		if (mayResume && this.attempts.isResumable(attempt)) {
			return this.attempts.resume(attempt, nowMillis);
		}
		List<NodeAction> released = attempt.end(true, ReleaseCause.FAILED, context, nowMillis);
		return Actions.concat(released, handleFailedAttempt(attempt, event.detail(), context, nowMillis));
	}

	private List<NodeAction> handleFailedAttempt(Attempt attempt, String detail, FlowContext context, long nowMillis) {
		this.attempts.recordFailure(attempt);
		if (!isCallerWaiting() || !this.attempts.allEnded()) {
			return List.of();
		}
		if (canRetry(attempt, context, nowMillis)) {
			return addAttempt(context, nowMillis);
		}
		return endWithoutResponse(RefusalCode.TARGET_FAILED, detail, RETRY_AFTER_MILLIS, context, nowMillis);
	}

	private boolean canRetry(Attempt failed, FlowContext context, long nowMillis) {
		boolean repeatable = this.accepted.entry().idempotent() || !this.attempts.mayHaveRun();
		boolean continuable = this.attempts.deliveredBytes() == 0 || this.accepted.entry().streaming();
		boolean retryable = repeatable && continuable && this.attempts.hasRetriesLeft()
				&& nowMillis < this.accepted.deadlineMillis();
		// A retry is free of charge if no target has started the request, because no
		// capacity was used, or if part of the response was delivered, because that part
		// is worthless without the rest.
		boolean exemptFromBudget = !failed.mayHaveRun() || this.attempts.deliveredBytes() > 0;
		return retryable && (exemptFromBudget || context.budgets().retries().tryAcquire());
	}

	private List<NodeAction> addAttempt(FlowContext context, long nowMillis) {
		Optional<Attempt> attempt = this.attempts.add(context);
		if (attempt.isEmpty()) {
			return endWithoutResponse(RefusalCode.NO_TARGET, "the pool has no target", RETRY_AFTER_MILLIS, context,
					nowMillis);
		}
		return attempt.get().requester().sendRequest(context, nowMillis);
	}

	List<NodeAction> tick(FlowContext context, long nowMillis) {
		if (!isCallerWaiting()) {
			return List.of();
		}
		if (nowMillis >= this.accepted.deadlineMillis()) {
			return endWithoutResponse(RefusalCode.DEADLINE_PASSED, "the deadline has passed", RETRY_AFTER_MILLIS,
					context, nowMillis);
		}
		if (isClaiming()) {
			return tickClaim(context, nowMillis);
		}
		List<NodeAction> hedge = this.attempts.addHedgeIfLate(context, nowMillis)
			.map((attempt) -> attempt.requester().sendRequest(context, nowMillis))
			.orElse(List.of());
		return Actions.concat(hedge, this.attempts.tick(context, nowMillis));
	}

	private List<NodeAction> tickClaim(FlowContext context, long nowMillis) {
		if (!this.claim.isTimedOut(nowMillis)) {
			return this.claim.tick(context, nowMillis);
		}
		return Actions.concat(this.claim.release(context), refuse(this.claim.unavailableRefusal(RETRY_AFTER_MILLIS)));
	}

	List<NodeAction> handleOwnershipChange(FlowContext context, long nowMillis) {
		return this.attempts.handleOwnershipChange(context, nowMillis);
	}

	void handleUnreachableShardOwner(int attemptNumber, long nowMillis) {
		this.attempts.findWaitingForGrant(attemptNumber)
			.ifPresent((attempt) -> attempt.requester().scheduleRetry(nowMillis));
	}

	void handleUnreachablePartitionOwner(long nowMillis) {
		this.claim.scheduleRetry(nowMillis);
	}

	/**
	 * Handles the disconnection of the caller. A non-idempotent request that may have run
	 * continues, so that its claim is completed.
	 * @param context the state that all request flows share
	 * @param nowMillis the current time
	 * @return the actions to carry out
	 */
	List<NodeAction> handleCallerDisconnect(FlowContext context, long nowMillis) {
		if (!isCallerWaiting()) {
			return List.of();
		}
		this.callerDisconnected = true;
		boolean mustComplete = !this.accepted.entry().idempotent() && this.attempts.mayHaveRun();
		if (mustComplete) {
			return List.of();
		}
		return Actions.concat(this.attempts.cancelAll(context, nowMillis), this.claim.release(context));
	}

	private List<NodeAction> endWithoutResponse(RefusalCode code, String message, long retryAfterMillis,
			FlowContext context, long nowMillis) {
		boolean mayHaveRun = this.attempts.mayHaveRun() || this.claim.hasJoined();
		this.claim.stopJoining();
		boolean keepRunning = mayHaveRun && !this.accepted.entry().idempotent();
		List<NodeAction> cancelled = keepRunning ? List.of() : this.attempts.cancelAll(context, nowMillis);
		if (this.attempts.isForwarding()) {
			return Actions.concat(cancelled, abort(code, message));
		}
		List<NodeAction> released = mayHaveRun ? List.of() : this.claim.release(context);
		Outcome outcome = mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
		return Actions.concat(cancelled, released, refuse(outcome, code, message, retryAfterMillis));
	}

	private List<NodeAction> refuse(Outcome outcome, RefusalCode code, String message, long retryAfterMillis) {
		return refuse(new Refusal(outcome, code, message, retryAfterMillis));
	}

	private List<NodeAction> refuse(Refusal refusal) {
		this.responseEnded = true;
		return List.of(new RefuseRequest(this.accepted.id(), refusal));
	}

	private List<NodeAction> abort(RefusalCode code, String message) {
		this.responseEnded = true;
		Refusal refusal = new Refusal(Outcome.UNKNOWN, code, message, RETRY_AFTER_MILLIS);
		return List.of(new AbortAnswer(this.accepted.id(), refusal));
	}

	AttemptSet attempts() {
		return this.attempts;
	}

}
