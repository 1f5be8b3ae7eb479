package org.mustardlane.core.execution;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;

/**
 * Requests a grant to use a target from the owners of shards, in the shard order of the
 * chat, and follows their redirections.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class GrantRequester {

	private static final long OWNER_RETRY_MILLIS = 20;

	private static final int REDIRECTIONS_BEFORE_QUEUE = 2;

	private static final int FAILURES_BEFORE_NEXT_SHARD = 3;

	private final AcceptedRequest accepted;

	private final int attemptNumber;

	private final Set<TargetId> excludedTargets;

	private final List<ShardId> rankedShards;

	private int rankIndex;

	private ShardId shard;

	private Optional<VmId> requestedOwner = Optional.empty();

	private int redirectionCount;

	private int ownerFailureCount;

	private long nextRequestMillis = Long.MAX_VALUE;

	GrantRequester(AcceptedRequest accepted, int attemptNumber, Set<TargetId> excludedTargets,
			List<ShardId> rankedShards) {
		this.accepted = accepted;
		this.attemptNumber = attemptNumber;
		this.excludedTargets = Set.copyOf(excludedTargets);
		this.rankedShards = List.copyOf(rankedShards);
		this.shard = rankedShards.get(0);
	}

	/**
	 * Creates a requester for the shards that can serve the attempt.
	 * @param accepted the request
	 * @param attemptNumber number of the attempt within the request, starting at 1
	 * @param excludedTargets targets at which the request has failed
	 * @param context the context that holds the catalogue and the current ownership
	 * @return the requester, or empty if the pool has no target
	 */
	static Optional<GrantRequester> create(AcceptedRequest accepted, int attemptNumber, Set<TargetId> excludedTargets,
			FlowContext context) {
		List<ShardId> shards = context.shardRanking().rankShards(accepted.entry().pool(), accepted.chatHash());
		// A failure domain without a live router is unreachable, and so are its targets.
		List<ShardId> reachable = shards.stream()
			.filter((shard) -> !context.ownership().routersInDomain(shard.domain()).isEmpty())
			.toList();
		List<ShardId> candidates = reachable.isEmpty() ? shards : reachable;
		List<ShardId> untried = candidates.stream()
			.filter((shard) -> hasOtherTarget(excludedTargets, shard, context))
			.toList();
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		// If every target has failed once, all of them may be tried again.
		return Optional.of(untried.isEmpty() ? new GrantRequester(accepted, attemptNumber, Set.of(), candidates)
				: new GrantRequester(accepted, attemptNumber, excludedTargets, untried));
	}

	private static boolean hasOtherTarget(Set<TargetId> excludedTargets, ShardId shard, FlowContext context) {
		return context.catalogue()
			.shards()
			.getOrDefault(shard, List.of())
			.stream()
			.anyMatch((target) -> !excludedTargets.contains(target.id()));
	}

	ShardId shard() {
		return this.shard;
	}

	List<NodeAction> sendRequest(FlowContext context, long nowMillis) {
		this.requestedOwner = context.ownership().shardOwner(this.shard);
		this.nextRequestMillis = this.requestedOwner.isPresent() ? Long.MAX_VALUE : (nowMillis + OWNER_RETRY_MILLIS);
		return this.requestedOwner
			.<List<NodeAction>>map((owner) -> List.of(new SendPeer(owner, createRequestMessage())))
			.orElse(List.of());
	}

	List<NodeAction> followRedirection(GrantReply reply, FlowContext context, long nowMillis) {
		this.redirectionCount++;
		if (this.shard.equals(reply.shard())) {
			this.redirectionCount = REDIRECTIONS_BEFORE_QUEUE;
		}
		this.shard = reply.shard();
		return sendRequest(context, nowMillis);
	}

	void scheduleRetry(long nowMillis) {
		this.ownerFailureCount++;
		if (this.ownerFailureCount % FAILURES_BEFORE_NEXT_SHARD == 0) {
			this.rankIndex = (this.rankIndex + 1) % this.rankedShards.size();
			this.shard = this.rankedShards.get(this.rankIndex);
		}
		this.nextRequestMillis = nowMillis + OWNER_RETRY_MILLIS;
	}

	List<NodeAction> tick(FlowContext context, long nowMillis) {
		return (nowMillis >= this.nextRequestMillis) ? sendRequest(context, nowMillis) : List.of();
	}

	List<NodeAction> handleOwnershipChange(FlowContext context, long nowMillis) {
		boolean hasSameOwner = context.ownership().shardOwner(this.shard).equals(this.requestedOwner);
		return hasSameOwner ? List.of() : sendRequest(context, nowMillis);
	}

	private GrantRequest createRequestMessage() {
		return new GrantRequest(this.accepted.id(), this.attemptNumber, this.shard, this.accepted.entry().name(),
				this.accepted.request().organisation(), this.accepted.entry().serviceClass(), this.accepted.chatHash(),
				this.accepted.deadlineMillis(), this.accepted.entry().expectedWorkMillis(), this.excludedTargets,
				this.redirectionCount >= REDIRECTIONS_BEFORE_QUEUE);
	}

}
