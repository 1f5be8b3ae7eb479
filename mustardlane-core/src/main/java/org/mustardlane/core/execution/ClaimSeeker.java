package org.mustardlane.core.execution;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.ClaimAsk;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Asks the owner of a partition for the claim of one request, again where an owner is
 * lost, until its patience ends.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class ClaimSeeker {

	private static final long PATIENCE_MILLIS = 4000;

	private static final long ASK_AGAIN_MILLIS = 1000;

	private static final char ATTEMPT_SEPARATOR = '/';

	private static final long OWNER_LOST_MILLIS = 50;

	private final AcceptedRequest accepted;

	private ClaimIdentity claim;

	private int finalAnswers;

	private final int partition;

	private final long patienceDeadlineMillis;

	private Optional<VmId> askedOwner = Optional.empty();

	private long askAgainAtMillis;

	ClaimSeeker(AcceptedRequest accepted, ClaimIdentity claim, long nowMillis) {
		this.accepted = accepted;
		this.claim = claim;
		this.partition = Ownership.partitionOf(claim.claimKey());
		this.patienceDeadlineMillis = Math.min(accepted.deadlineMillis(), nowMillis + PATIENCE_MILLIS);
	}

	ClaimIdentity claim() {
		return this.claim;
	}

	boolean isPatienceOver(long nowMillis) {
		return nowMillis >= this.patienceDeadlineMillis;
	}

	List<NodeAction> ask(FlowContext context, long nowMillis) {
		this.askedOwner = context.ownership().partitionOwner(this.partition);
		this.askAgainAtMillis = nowMillis + (this.askedOwner.isPresent() ? ASK_AGAIN_MILLIS : OWNER_LOST_MILLIS);
		return this.askedOwner.<List<NodeAction>>map((owner) -> List.of(new SendPeer(owner, message())))
			.orElse(List.of());
	}

	void ownerLost(long nowMillis) {
		this.askAgainAtMillis = Math.min(this.askAgainAtMillis, nowMillis + OWNER_LOST_MILLIS);
	}

	/**
	 * Asks once more after a final answer, as a new attempt: the earlier one stays
	 * refused.
	 * @param millis when to ask
	 */
	void askAnewAt(long millis) {
		this.finalAnswers++;
		String attemptId = this.accepted.id().value() + ATTEMPT_SEPARATOR + this.finalAnswers;
		this.claim = new ClaimIdentity(this.claim.claimKey(), attemptId);
		this.askAgainAtMillis = millis;
	}

	List<NodeAction> tick(FlowContext context, long nowMillis) {
		return (nowMillis >= this.askAgainAtMillis) ? ask(context, nowMillis) : List.of();
	}

	/**
	 * Releases the claim; called only where nothing was sent under it.
	 * @param context where the owner is looked up
	 * @return the messages to the owner that was asked and to the present one
	 */
	List<NodeAction> release(FlowContext context) {
		ClaimRelease release = new ClaimRelease(this.claim.claimKey(), this.claim.attemptId());
		Optional<VmId> owner = context.ownership().partitionOwner(this.partition).or(() -> this.askedOwner);
		return owner.<List<NodeAction>>map((vm) -> List.of(new SendPeer(vm, release))).orElse(List.of());
	}

	Optional<VmId> owner(FlowContext context) {
		return context.ownership().partitionOwner(this.partition);
	}

	private ClaimAsk message() {
		return new ClaimAsk(this.accepted.id(), this.claim.attemptId(), this.claim.claimKey(),
				this.accepted.request().bodyDigest(), this.patienceDeadlineMillis);
	}

}
