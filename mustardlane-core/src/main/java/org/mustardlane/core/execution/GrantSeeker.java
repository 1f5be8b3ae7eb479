package org.mustardlane.core.execution;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;

/**
 * Asks the owners of shards for the right to use a target, shard by shard in the order of
 * the chat, and follows their redirections.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class GrantSeeker {

	private static final long OWNER_LOST_MILLIS = 20;

	private static final int REDIRECTIONS_BEFORE_QUEUE = 2;

	private static final int LOSSES_BEFORE_NEXT_SHARD = 3;

	private final AcceptedRequest accepted;

	private final int attempt;

	private final Set<TargetId> excludedTargets;

	private final List<ShardId> route;

	private int position;

	private ShardId shard;

	private Optional<VmId> askedOwner = Optional.empty();

	private int redirections;

	private int losses;

	private long askAgainAtMillis = Long.MAX_VALUE;

	GrantSeeker(AcceptedRequest accepted, int attempt, Set<TargetId> excludedTargets, List<ShardId> route) {
		this.accepted = accepted;
		this.attempt = attempt;
		this.excludedTargets = Set.copyOf(excludedTargets);
		this.route = List.copyOf(route);
		this.shard = route.get(0);
	}

	/**
	 * Creates a seeker, unless the pool has no target at all.
	 * @param accepted the request
	 * @param attempt number of the attempt
	 * @param excludedTargets targets that have failed the request
	 * @param context the catalogue
	 * @return the seeker
	 */
	static Optional<GrantSeeker> of(AcceptedRequest accepted, int attempt, Set<TargetId> excludedTargets,
			FlowContext context) {
		List<ShardId> all = context.route().route(accepted.entry().pool(), accepted.chatHash());
		// A failure domain without a live router is cut off, and so are its targets.
		List<ShardId> reachable = all.stream()
			.filter((shard) -> !context.ownership().inDomain(shard.domain()).isEmpty())
			.toList();
		List<ShardId> candidates = reachable.isEmpty() ? all : reachable;
		List<ShardId> untried = candidates.stream()
			.filter((shard) -> hasTargetBeside(excludedTargets, shard, context))
			.toList();
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		// Where every target has failed once, each may be tried again.
		return Optional.of(untried.isEmpty() ? new GrantSeeker(accepted, attempt, Set.of(), candidates)
				: new GrantSeeker(accepted, attempt, excludedTargets, untried));
	}

	private static boolean hasTargetBeside(Set<TargetId> excludedTargets, ShardId shard, FlowContext context) {
		return context.catalogue()
			.shards()
			.getOrDefault(shard, List.of())
			.stream()
			.anyMatch((target) -> !excludedTargets.contains(target.id()));
	}

	ShardId shard() {
		return this.shard;
	}

	List<NodeAction> ask(FlowContext context, long nowMillis) {
		this.askedOwner = context.ownership().shardOwner(this.shard);
		this.askAgainAtMillis = this.askedOwner.isPresent() ? Long.MAX_VALUE : (nowMillis + OWNER_LOST_MILLIS);
		return this.askedOwner.<List<NodeAction>>map((owner) -> List.of(new SendPeer(owner, message())))
			.orElse(List.of());
	}

	List<NodeAction> redirected(GrantAnswer answer, FlowContext context, long nowMillis) {
		this.redirections++;
		if (this.shard.equals(answer.shard())) {
			this.redirections = REDIRECTIONS_BEFORE_QUEUE;
		}
		this.shard = answer.shard();
		return ask(context, nowMillis);
	}

	void ownerLost(long nowMillis) {
		this.losses++;
		if (this.losses % LOSSES_BEFORE_NEXT_SHARD == 0) {
			this.position = (this.position + 1) % this.route.size();
			this.shard = this.route.get(this.position);
		}
		this.askAgainAtMillis = nowMillis + OWNER_LOST_MILLIS;
	}

	List<NodeAction> tick(FlowContext context, long nowMillis) {
		return (nowMillis >= this.askAgainAtMillis) ? ask(context, nowMillis) : List.of();
	}

	List<NodeAction> ownershipChanged(FlowContext context, long nowMillis) {
		boolean sameOwner = context.ownership().shardOwner(this.shard).equals(this.askedOwner);
		return sameOwner ? List.of() : ask(context, nowMillis);
	}

	private GrantAsk message() {
		return new GrantAsk(this.accepted.id(), this.attempt, this.shard, this.accepted.entry().name(),
				this.accepted.request().organisation(), this.accepted.entry().serviceClass(), this.accepted.chatHash(),
				this.accepted.deadlineMillis(), this.accepted.entry().expectedWorkMillis(), this.excludedTargets,
				this.redirections >= REDIRECTIONS_BEFORE_QUEUE);
	}

}
