package org.mustardlane.core.admission;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.chat.ShardRoute;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Decides asks: grants, queues, redirects or refuses.
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class Granter {

	private static final long SHORTEST_RETRY_MILLIS = 100;

	private final AdmissionSettings settings;

	private final TargetChoice choice;

	private long lastGrantId;

	Granter(AdmissionSettings settings, TargetChoice choice, long firstGrantId) {
		this.settings = settings;
		this.choice = choice;
		this.lastGrantId = firstGrantId;
	}

	/**
	 * Decides an ask that has arrived.
	 * @param shard the shard
	 * @param pending the ask
	 * @param route orders the shards of the pool
	 * @param nowMillis the time
	 * @param actions takes the answer
	 */
	void ask(Shard shard, PendingAsk pending, ShardRoute route, long nowMillis, List<NodeAction> actions) {
		Optional<Grant> earlier = shard.grant(pending.key());
		if (earlier.isPresent()) {
			actions.add(granted(pending, earlier.get()));
		}
		else if (!shard.queue().contains(pending.key()) && !place(shard, pending, nowMillis, actions)) {
			wait(shard, pending, route, nowMillis, actions);
		}
	}

	private void wait(Shard shard, PendingAsk pending, ShardRoute route, long nowMillis, List<NodeAction> actions) {
		GrantAsk ask = pending.ask();
		Optional<ShardId> other = ask.mayQueue() ? Optional.empty() : shardWithRoom(shard, ask, route, nowMillis);
		if (other.isPresent()) {
			actions.add(answer(pending, other.get(), GrantVerdict.REDIRECTED, 0, Optional.empty()));
		}
		else if (shard.queue().size() >= this.settings.queueLimit() || pending.latestStartMillis() < nowMillis) {
			actions.add(refuse(shard, pending, RefusalCode.OVERLOADED));
		}
		else {
			shard.queue().add(pending);
		}
	}

	private Optional<ShardId> shardWithRoom(Shard shard, GrantAsk ask, ShardRoute route, long nowMillis) {
		int bound = shard.pool().bound(nowMillis);
		return route.route(shard.id().pool(), ask.chatHash())
			.stream()
			.filter((other) -> shard.pool().heard(other).filter((load) -> hasRoom(load, bound)).isPresent())
			.findFirst();
	}

	private static boolean hasRoom(ShardLoad load, int bound) {
		return load.queued() == 0 && load.granted() < Math.min(load.slots(), bound * load.openTargets());
	}

	/**
	 * Grants what waits and fits.
	 * @param shard the shard
	 * @param nowMillis the time
	 * @param actions takes the answers
	 */
	void dispatch(Shard shard, long nowMillis, List<NodeAction> actions) {
		boolean placed = true;
		while (placed && shard.queue().size() > 0) {
			placed = shard.queue().removeFirst((pending) -> place(shard, pending, nowMillis, actions));
		}
	}

	private boolean place(Shard shard, PendingAsk pending, long nowMillis, List<NodeAction> actions) {
		Optional<TargetSlots> slots = this.choice.choose(shard, pending, nowMillis);
		slots.ifPresent((chosen) -> {
			this.lastGrantId++;
			GrantAsk ask = pending.ask();
			Grant grant = new Grant(pending.key(), this.lastGrantId, pending.sender(), chosen.target().id(),
					ask.organisation(), ask.serviceClass(), nowMillis, nowMillis + this.settings.grantLifeMillis());
			shard.addGrant(grant);
			actions.add(granted(pending, grant));
		});
		return slots.isPresent();
	}

	/**
	 * Refuses what can no longer meet its deadline.
	 * @param shard the shard
	 * @param nowMillis the time
	 * @param actions takes the answers
	 */
	void refuseLate(Shard shard, long nowMillis, List<NodeAction> actions) {
		shard.queue()
			.removeLate(nowMillis)
			.forEach((pending) -> actions.add(refuse(shard, pending, RefusalCode.OVERLOADED)));
	}

	private NodeAction refuse(Shard shard, PendingAsk pending, RefusalCode code) {
		long backlogMillis = shard.queue().size() * pending.ask().expectedWorkMillis() / Math.max(1, shard.openSlots());
		long retryAfterMillis = Math.max(SHORTEST_RETRY_MILLIS, backlogMillis);
		return answer(pending, shard.id(), GrantVerdict.REFUSED, retryAfterMillis, Optional.of(code));
	}

	static NodeAction notOwner(VmId sender, GrantAsk ask) {
		return new SendPeer(sender, new GrantAnswer(ask.requestId(), ask.attempt(), ask.shard(), GrantVerdict.NOT_OWNER,
				0, Optional.empty(), 0, 0, Optional.empty()));
	}

	private static NodeAction granted(PendingAsk pending, Grant grant) {
		GrantAsk ask = pending.ask();
		return new SendPeer(pending.sender(),
				new GrantAnswer(ask.requestId(), ask.attempt(), ask.shard(), GrantVerdict.GRANTED, grant.grantId(),
						Optional.of(grant.target()), grant.expiryMillis(), 0, Optional.empty()));
	}

	private static NodeAction answer(PendingAsk pending, ShardId shard, GrantVerdict verdict, long retryAfterMillis,
			Optional<RefusalCode> code) {
		GrantAsk ask = pending.ask();
		return new SendPeer(pending.sender(), new GrantAnswer(ask.requestId(), ask.attempt(), shard, verdict, 0,
				Optional.empty(), 0, retryAfterMillis, code));
	}

}
