package org.mustardlane.core.execution;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.JoinAnswer;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.ClaimAnswer;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.StoredAnswer;
import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * What a request has to do with its claim: ask for it, acquire it, or join the answer of
 * the request that holds it. Idempotent requests need none.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class ClaimStage {

	private static final int MAX_JOINS = 3;

	private static final long JOIN_RETRY_MILLIS = 200;

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final StoredAnswer ANSWER_TOO_LARGE = new StoredAnswer(0, "", new byte[0]);

	private final AcceptedRequest accepted;

	private final Optional<ClaimRequester> requester;

	private boolean acquired;

	private long offset;

	private boolean joining;

	private int joins;

	ClaimStage(AcceptedRequest accepted, long nowMillis) {
		this.accepted = accepted;
		this.requester = accepted.claim().map((claim) -> new ClaimRequester(accepted, claim, nowMillis));
	}

	/**
	 * Tells whether the claim is still to be decided.
	 * @return true while the request may neither be sent nor joins an answer
	 */
	boolean isPending() {
		return this.requester.isPresent() && !this.acquired && !this.joining;
	}

	boolean isJoining() {
		return this.joining;
	}

	/**
	 * Tells whether another request holds or acquired the claim, so that its work may
	 * have run.
	 * @return true after the first join
	 */
	boolean hasJoined() {
		return this.joins > 0;
	}

	/**
	 * Returns the fencing token of the claim.
	 * @return its log offset, 0 without a claim
	 */
	long offset() {
		return this.offset;
	}

	boolean isReplyTo(ClaimAnswer answer) {
		return this.requester.filter((active) -> active.claim().attemptId().equals(answer.attemptId())).isPresent();
	}

	List<NodeAction> sendRequest(FlowContext context, long nowMillis) {
		return this.requester.map((active) -> active.sendRequest(context, nowMillis)).orElse(List.of());
	}

	List<NodeAction> tick(FlowContext context, long nowMillis) {
		return this.requester.map((active) -> active.tick(context, nowMillis)).orElse(List.of());
	}

	boolean isTimedOut(long nowMillis) {
		return this.requester.filter((active) -> active.isTimedOut(nowMillis)).isPresent();
	}

	void scheduleRetry(long nowMillis) {
		this.requester.ifPresent((active) -> active.scheduleRetry(nowMillis));
	}

	void acquire(long claimOffset) {
		this.acquired = true;
		this.offset = claimOffset;
	}

	/**
	 * Joins the answer of the request that holds the claim.
	 * @param answer names the holder
	 * @return what is to be done, or empty where no holder is named
	 */
	Optional<NodeAction> join(ClaimAnswer answer) {
		if (answer.holderVm().isEmpty() || answer.holderRequestId().isEmpty()) {
			return Optional.empty();
		}
		this.joining = true;
		this.joins++;
		return Optional.of(new JoinAnswer(this.accepted.id(), answer.holderVm().get(), answer.holderRequestId().get()));
	}

	void stopJoining() {
		this.joining = false;
	}

	/**
	 * Asks once more after a join that gave nothing: the holder may have released its
	 * claim, or its completion may be in the log by now.
	 * @param nowMillis the time
	 * @return false where that has been tried often enough
	 */
	boolean retryAfterJoin(long nowMillis) {
		if (this.joins >= MAX_JOINS) {
			return false;
		}
		this.requester.ifPresent((active) -> active.retryAsNewAttempt(nowMillis + JOIN_RETRY_MILLIS));
		return true;
	}

	/**
	 * Returns the final word for a request that can not get its claim.
	 * @param retryAfterMillis when to come back
	 * @return the refusal: not run, unless another request may have run under the claim
	 */
	Refusal unavailableRefusal(long retryAfterMillis) {
		if (hasJoined()) {
			return new Refusal(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE, "the router that holds the claim is gone",
					RETRY_AFTER_MILLIS);
		}
		return new Refusal(Outcome.NOT_RUN, RefusalCode.LOG_UNAVAILABLE, "the request could not be claimed",
				Math.max(1, retryAfterMillis));
	}

	List<NodeAction> complete(AttemptEnded event, FlowContext context) {
		if (this.requester.isEmpty()) {
			return List.of();
		}
		ClaimIdentity claim = this.requester.get().claim();
		ClaimCompletion completion = new ClaimCompletion(claim.claimKey(), claim.attemptId(),
				event.keptAnswer().orElse(ANSWER_TOO_LARGE));
		return this.requester.get()
			.owner(context)
			.<List<NodeAction>>map((owner) -> List.of(new SendPeer(owner, completion)))
			.orElse(List.of());
	}

	List<NodeAction> release(FlowContext context) {
		return this.requester.map((active) -> active.release(context)).orElse(List.of());
	}

}
