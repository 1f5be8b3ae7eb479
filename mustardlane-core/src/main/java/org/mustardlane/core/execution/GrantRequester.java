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

	private final int attempt;

	private final Set<TargetId> excludedTargets;

	private final List<ShardId> route;

	private int routeIndex;

	private ShardId shard;

	private Optional<VmId> requestedOwner = Optional.empty();

	private int redirections;

	private int ownerFailures;

	private long nextRequestMillis = Long.MAX_VALUE;

	GrantRequester(AcceptedRequest accepted, int attempt, Set<TargetId> excludedTargets, List<ShardId> route) {
		this.accepted = accepted;
		this.attempt = attempt;
		this.excludedTargets = Set.copyOf(excludedTargets);
		this.route = List.copyOf(route);
		this.shard = route.get(0);
	}

	/**
	 * Creates a requester for the shards that can serve the attempt.
	 * @param accepted the request
	 * @param attempt number of the attempt within the request, starting at 1
	 * @param excludedTargets targets at which the request has failed
	 * @param context the context that holds the catalogue and the current ownership
	 * @return the requester, or empty if the pool has no target
	 */
	static Optional<GrantRequester> create(AcceptedRequest accepted, int attempt, Set<TargetId> excludedTargets,
			FlowContext context) {
		List<ShardId> shards = context.route().rankShards(accepted.entry().pool(), accepted.chatHash());
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
		return Optional.of(untried.isEmpty() ? new GrantRequester(accepted, attempt, Set.of(), candidates)
				: new GrantRequester(accepted, attempt, excludedTargets, untried));
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
		return this.requestedOwner.<List<NodeAction>>map((owner) -> List.of(new SendPeer(owner, requestMessage())))
			.orElse(List.of());
	}

	List<NodeAction> redirected(GrantReply reply, FlowContext context, long nowMillis) {
		this.redirections++;
		if (this.shard.equals(reply.shard())) {
			this.redirections = REDIRECTIONS_BEFORE_QUEUE;
		}
		this.shard = reply.shard();
		return sendRequest(context, nowMillis);
	}

	void scheduleRetry(long nowMillis) {
		this.ownerFailures++;
		if (this.ownerFailures % FAILURES_BEFORE_NEXT_SHARD == 0) {
			this.routeIndex = (this.routeIndex + 1) % this.route.size();
			this.shard = this.route.get(this.routeIndex);
		}
		this.nextRequestMillis = nowMillis + OWNER_RETRY_MILLIS;
	}

	List<NodeAction> tick(FlowContext context, long nowMillis) {
		return (nowMillis >= this.nextRequestMillis) ? sendRequest(context, nowMillis) : List.of();
	}

	List<NodeAction> ownershipChanged(FlowContext context, long nowMillis) {
		boolean sameOwner = context.ownership().shardOwner(this.shard).equals(this.requestedOwner);
		return sameOwner ? List.of() : sendRequest(context, nowMillis);
	}

	private GrantRequest requestMessage() {
		return new GrantRequest(this.accepted.id(), this.attempt, this.shard, this.accepted.entry().name(),
				this.accepted.request().organisation(), this.accepted.entry().serviceClass(), this.accepted.chatHash(),
				this.accepted.deadlineMillis(), this.accepted.entry().expectedWorkMillis(), this.excludedTargets,
				this.redirections >= REDIRECTIONS_BEFORE_QUEUE);
	}

}
