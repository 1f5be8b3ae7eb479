package org.mustardlane.core.execution;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.event.CancelAttempt;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.AttemptKind;
import org.mustardlane.core.model.target.AttemptTiming;

/**
 * An attempt to have a target respond to a request. It first waits for a grant and then
 * receives the response.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class Attempt {

	private static final long NOT_SET = -1;

	private static final long MIN_HEAD_TIMEOUT_MILLIS = 5000;

	private static final long IDLE_TIMEOUT_MILLIS = 5000;

	private final AcceptedRequest accepted;

	private final int number;

	private final AttemptKind kind;

	private final String generationToResume;

	private final long offsetBytes;

	private final GrantRequester requester;

	private Optional<Target> target = Optional.empty();

	private long grantId;

	private int grantAttemptNumber;

	private boolean mayHaveRun;

	private boolean ended;

	private Optional<String> generationId = Optional.empty();

	private long startedAtMillis = NOT_SET;

	private long firstTokenAtMillis = NOT_SET;

	private long lastTokenAtMillis = NOT_SET;

	private long maxTokenGapMillis = NOT_SET;

	private long receivedBytes;

	Attempt(AcceptedRequest accepted, int number, AttemptKind kind, String generationToResume, long offsetBytes,
			GrantRequester requester) {
		this.accepted = accepted;
		this.number = number;
		this.grantAttemptNumber = number;
		this.kind = kind;
		this.generationToResume = generationToResume;
		this.offsetBytes = offsetBytes;
		this.requester = requester;
	}

	int number() {
		return this.number;
	}

	GrantRequester requester() {
		return this.requester;
	}

	boolean isWaitingForGrant() {
		return !this.ended && this.target.isEmpty();
	}

	boolean isRunning() {
		return !this.ended && this.mayHaveRun;
	}

	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Tells whether the target may have started the request.
	 * @return true from the moment the attempt is handed to the adapter, until the
	 * adapter or the target reports that the request was not started
	 */
	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	Optional<TargetId> targetId() {
		return this.target.map(Target::id);
	}

	Optional<String> generationId() {
		return this.generationId;
	}

	long deliveredBytes() {
		return this.offsetBytes + this.receivedBytes;
	}

	boolean hasFirstToken() {
		return this.firstTokenAtMillis != NOT_SET;
	}

	long startedAtMillis() {
		return this.startedAtMillis;
	}

	Optional<HeldGrant> heldGrant() {
		if (this.ended || this.target.isEmpty()) {
			return Optional.empty();
		}
		return this.target.map((grantedTarget) -> new HeldGrant(this.grantId, grantedTarget.id(), this.accepted.id(),
				this.grantAttemptNumber, this.accepted.request().organisation(), this.accepted.entry().serviceClass()));
	}

	boolean holdsGrant(long otherGrantId) {
		return this.target.isPresent() && this.grantId == otherGrantId;
	}

	/**
	 * Starts the attempt with a grant.
	 * @param reply the reply that carries the grant
	 * @param grantedTarget the target that the grant names
	 * @param fencingNumber log offset of the claim, used as the fencing number; 0 without
	 * a claim
	 * @param nowMillis the current time
	 * @return the actions to carry out
	 */
	List<NodeAction> start(GrantReply reply, Target grantedTarget, long fencingNumber, long nowMillis) {
		this.target = Optional.of(grantedTarget);
		this.grantId = reply.grantId();
		this.mayHaveRun = true;
		this.startedAtMillis = nowMillis;
		long dispatchDeadlineMillis = Math.min(reply.expiryMillis(), this.accepted.deadlineMillis());
		return List.of(startAction(grantedTarget, dispatchDeadlineMillis, fencingNumber, nowMillis));
	}

	/**
	 * Starts the attempt at the same target and with the same grant as an attempt whose
	 * response broke off.
	 * @param brokenAttempt the attempt whose response broke off
	 * @param nowMillis the current time
	 * @return the actions to carry out
	 */
	List<NodeAction> startWithGrantOf(Attempt brokenAttempt, long nowMillis) {
		Target grantedTarget = brokenAttempt.target.orElseThrow();
		this.target = brokenAttempt.target;
		this.grantId = brokenAttempt.grantId;
		this.grantAttemptNumber = brokenAttempt.grantAttemptNumber;
		this.mayHaveRun = true;
		this.startedAtMillis = nowMillis;
		return List.of(startAction(grantedTarget, this.accepted.deadlineMillis(), 0, nowMillis));
	}

	private StartAttempt startAction(Target grantedTarget, long dispatchDeadlineMillis, long fencingNumber,
			long nowMillis) {
		// Once a target may have started a non-idempotent request, the request cannot be
		// retried, so timeouts shorter than its deadline would not help.
		boolean repeatable = this.accepted.entry().idempotent();
		long headTimeoutMillis = Math.max(MIN_HEAD_TIMEOUT_MILLIS, 2L * this.accepted.entry().expectedWorkMillis());
		return new StartAttempt(this.accepted.id(), this.number, grantedTarget, this.kind, this.generationToResume,
				this.offsetBytes, this.accepted.entry().path(), this.accepted.entry().serviceClass(),
				dispatchDeadlineMillis, this.accepted.deadlineMillis(), fencingNumber,
				repeatable ? (nowMillis + headTimeoutMillis) : Long.MAX_VALUE,
				repeatable ? IDLE_TIMEOUT_MILLIS : Long.MAX_VALUE);
	}

	/**
	 * Tells whether this attempt resumed a generation and received no data.
	 * @return true for a resumed attempt that received no byte
	 */
	boolean hasResumedWithoutData() {
		return this.kind == AttemptKind.RESUME && this.receivedBytes == 0;
	}

	void recordHead(Optional<String> generation) {
		this.generationId = generation;
	}

	/**
	 * Records that bytes of the response have arrived.
	 * @param totalBytes number of bytes that this attempt has received so far
	 * @param nowMillis the current time
	 * @return whether these were the first bytes of the attempt
	 */
	boolean recordBytes(long totalBytes, long nowMillis) {
		boolean isFirst = this.firstTokenAtMillis == NOT_SET;
		if (isFirst) {
			this.firstTokenAtMillis = nowMillis;
		}
		else {
			this.maxTokenGapMillis = Math.max(this.maxTokenGapMillis, nowMillis - this.lastTokenAtMillis);
		}
		this.lastTokenAtMillis = nowMillis;
		this.receivedBytes = Math.max(this.receivedBytes, totalBytes);
		return isFirst;
	}

	long firstTokenMillis() {
		return hasFirstToken() ? (this.firstTokenAtMillis - this.startedAtMillis) : NOT_SET;
	}

	/**
	 * Ends the attempt without releasing its grant, which another attempt takes over.
	 * @param mayHaveStarted whether the target may have started the request
	 */
	void endWithoutRelease(boolean mayHaveStarted) {
		this.ended = true;
		this.mayHaveRun = mayHaveStarted;
	}

	/**
	 * Ends the attempt and releases its grant, or withdraws its grant request.
	 * @param mayHaveStarted whether the target may have started the request
	 * @param cause why the grant is released
	 * @param context the context that holds the current ownership
	 * @param nowMillis the current time
	 * @return the message to the owner of the shard, empty if there is nothing to release
	 * or no owner
	 */
	List<NodeAction> end(boolean mayHaveStarted, ReleaseCause cause, FlowContext context, long nowMillis) {
		boolean hadGrant = !this.ended && this.target.isPresent();
		boolean wasWaiting = isWaitingForGrant();
		endWithoutRelease(mayHaveStarted);
		if (hadGrant) {
			return release(this.grantId, this.target.get().id(), cause, context, nowMillis);
		}
		return wasWaiting ? withdrawRequest(context, nowMillis) : List.of();
	}

	/**
	 * Cancels the attempt: closes its connection and releases its grant.
	 * @param context the context that holds the current ownership
	 * @param nowMillis the current time
	 * @return the actions to carry out
	 */
	List<NodeAction> cancel(FlowContext context, long nowMillis) {
		if (this.ended) {
			return List.of();
		}
		if (!this.mayHaveRun) {
			return end(false, ReleaseCause.UNUSED, context, nowMillis);
		}
		List<NodeAction> released = end(true, ReleaseCause.CANCELLED, context, nowMillis);
		return Actions.concat(List.of(new CancelAttempt(this.accepted.id(), this.number)), released);
	}

	private List<NodeAction> withdrawRequest(FlowContext context, long nowMillis) {
		return release(0, GrantReleases.NO_TARGET, ReleaseCause.UNUSED, context, nowMillis);
	}

	private List<NodeAction> release(long grant, TargetId grantedTarget, ReleaseCause cause, FlowContext context,
			long nowMillis) {
		ShardId shard = context.catalogue().shardByTarget().getOrDefault(grantedTarget, this.requester.shard());
		long serviceMillis = (this.startedAtMillis != NOT_SET) ? (nowMillis - this.startedAtMillis) : 0;
		AttemptTiming timing = new AttemptTiming(firstTokenMillis(), this.maxTokenGapMillis, serviceMillis);
		GrantRelease release = new GrantRelease(this.accepted.id(), this.grantAttemptNumber, shard, grant,
				grantedTarget, cause, timing);
		Optional<VmId> owner = context.ownership().shardOwner(shard);
		return owner.<List<NodeAction>>map((vm) -> List.of(new SendPeer(vm, release))).orElse(List.of());
	}

}
