package org.mustardlane.core.execution;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.JoinAnswer;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * The claim stage of a request: requests the claim, then holds it or joins the response
 * of the request that holds it. Idempotent requests need no claim.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class ClaimStage {

	private static final int MAX_JOINS = 3;

	private static final long JOIN_RETRY_MILLIS = 200;

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final StoredResponse RESPONSE_TOO_LARGE = new StoredResponse(0, "", new byte[0]);

	private final AcceptedRequest accepted;

	private final Optional<ClaimRequester> requester;

	private boolean acquired;

	private long offset;

	private boolean joining;

	private int joinCount;

	ClaimStage(AcceptedRequest accepted, long nowMillis) {
		this.accepted = accepted;
		this.requester = accepted.claim().map((claim) -> new ClaimRequester(accepted, claim, nowMillis));
	}

	/**
	 * Tells whether the request still has to acquire its claim or join the response of
	 * the request that holds the claim.
	 * @return true while the request needs a claim, has not acquired it and is not
	 * joining a response
	 */
	boolean isPending() {
		return this.requester.isPresent() && !this.acquired && !this.joining;
	}

	boolean isJoining() {
		return this.joining;
	}

	/**
	 * Tells whether another request has held the claim, so that the work may have run.
	 * @return true after the first join
	 */
	boolean hasJoined() {
		return this.joinCount > 0;
	}

	/**
	 * Returns the log offset of the claim, which is its fencing number.
	 * @return the log offset, 0 without a claim
	 */
	long offset() {
		return this.offset;
	}

	boolean isReplyTo(ClaimReply reply) {
		return this.requester.filter((active) -> active.claim().attemptId().equals(reply.attemptId())).isPresent();
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
	 * Joins the response of the request that holds the claim.
	 * @param reply the reply that names the holder
	 * @return the action to carry out, or empty if the reply names no holder
	 */
	Optional<NodeAction> join(ClaimReply reply) {
		if (reply.holderVm().isEmpty() || reply.holderRequestId().isEmpty()) {
			return Optional.empty();
		}
		this.joining = true;
		this.joinCount++;
		return Optional.of(new JoinAnswer(this.accepted.id(), reply.holderVm().get(), reply.holderRequestId().get()));
	}

	void stopJoining() {
		this.joining = false;
	}

	/**
	 * Schedules another claim request after a join that delivered nothing: the holder may
	 * have released its claim, or its completion may be in the log by now.
	 * @param nowMillis the current time
	 * @return false if the limit of joins is reached
	 */
	boolean retryAfterJoin(long nowMillis) {
		if (this.joinCount >= MAX_JOINS) {
			return false;
		}
		this.requester.ifPresent((active) -> active.retryAsNewAttempt(nowMillis + JOIN_RETRY_MILLIS));
		return true;
	}

	/**
	 * Returns the refusal for a request that cannot get its claim.
	 * @param retryAfterMillis delay after which the caller may retry
	 * @return the refusal, with outcome {@code NOT_RUN} unless another request may have
	 * run under the claim
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
				event.storedResponse().orElse(RESPONSE_TOO_LARGE));
		return this.requester.get()
			.owner(context)
			.<List<NodeAction>>map((owner) -> List.of(new SendPeer(owner, completion)))
			.orElse(List.of());
	}

	List<NodeAction> release(FlowContext context) {
		return this.requester.map((active) -> active.release(context)).orElse(List.of());
	}

}
