package org.mustardlane.core.execution;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Requests the claim of one request from the owner of its partition, and retries until
 * its deadline if the owner does not reply or is lost.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class ClaimRequester {

	private static final long CLAIM_TIMEOUT_MILLIS = 4000;

	private static final long REPLY_TIMEOUT_MILLIS = 1000;

	private static final char ATTEMPT_SEPARATOR = '/';

	private static final long OWNER_RETRY_MILLIS = 50;

	private final AcceptedRequest accepted;

	private ClaimIdentity claim;

	private int retryCount;

	private final int partition;

	private final long claimDeadlineMillis;

	private Optional<VmId> requestedOwner = Optional.empty();

	private long nextRequestMillis;

	ClaimRequester(AcceptedRequest accepted, ClaimIdentity claim, long nowMillis) {
		this.accepted = accepted;
		this.claim = claim;
		this.partition = Ownership.claimPartitionOf(claim.claimKey());
		this.claimDeadlineMillis = Math.min(accepted.deadlineMillis(), nowMillis + CLAIM_TIMEOUT_MILLIS);
	}

	ClaimIdentity claim() {
		return this.claim;
	}

	boolean isTimedOut(long nowMillis) {
		return nowMillis >= this.claimDeadlineMillis;
	}

	List<NodeAction> sendRequest(FlowContext context, long nowMillis) {
		this.requestedOwner = context.ownership().claimPartitionOwner(this.partition);
		this.nextRequestMillis = nowMillis
				+ (this.requestedOwner.isPresent() ? REPLY_TIMEOUT_MILLIS : OWNER_RETRY_MILLIS);
		return this.requestedOwner
			.<List<NodeAction>>map((owner) -> List.of(new SendPeer(owner, createRequestMessage())))
			.orElse(List.of());
	}

	void scheduleRetry(long nowMillis) {
		this.nextRequestMillis = Math.min(this.nextRequestMillis, nowMillis + OWNER_RETRY_MILLIS);
	}

	/**
	 * Schedules a retry after a final reply. The retry has a new attempt identifier,
	 * because a refused one stays refused.
	 * @param atMillis when to send the retry
	 */
	void retryAsNewAttempt(long atMillis) {
		this.retryCount++;
		String attemptId = this.accepted.id().value() + ATTEMPT_SEPARATOR + this.retryCount;
		this.claim = new ClaimIdentity(this.claim.claimKey(), attemptId);
		this.nextRequestMillis = atMillis;
	}

	List<NodeAction> tick(FlowContext context, long nowMillis) {
		return (nowMillis >= this.nextRequestMillis) ? sendRequest(context, nowMillis) : List.of();
	}

	/**
	 * Releases the claim. Must be called only if nothing was sent to a target under the
	 * claim.
	 * @param context the context that holds the current ownership
	 * @return the message to the current owner, or to the last requested owner if there
	 * is no current one
	 */
	List<NodeAction> release(FlowContext context) {
		ClaimRelease release = new ClaimRelease(this.claim.claimKey(), this.claim.attemptId());
		Optional<VmId> owner = context.ownership().claimPartitionOwner(this.partition).or(() -> this.requestedOwner);
		return owner.<List<NodeAction>>map((vm) -> List.of(new SendPeer(vm, release))).orElse(List.of());
	}

	Optional<VmId> owner(FlowContext context) {
		return context.ownership().claimPartitionOwner(this.partition);
	}

	private ClaimRequest createRequestMessage() {
		return new ClaimRequest(this.accepted.id(), this.claim.attemptId(), this.claim.claimKey(),
				this.accepted.request().bodyDigest(), this.claimDeadlineMillis);
	}

}
