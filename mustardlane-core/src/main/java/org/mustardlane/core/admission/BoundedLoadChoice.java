package org.mustardlane.core.admission;

import java.util.Optional;

import org.mustardlane.core.model.common.Rendezvous;

/**
 * Rendezvous hashing with bounded loads: the first target in the order of the chat that
 * is below the load bound and has a free slot.
 */
final class BoundedLoadChoice implements TargetChoice {

	private static final int PERCENT = 100;

	@Override
	public Optional<TargetSlots> choose(Shard shard, PendingAsk pending, long nowMillis) {
		int bound = shard.pool().bound(nowMillis);
		TargetSlots best = null;
		long bestScore = 0;
		for (TargetSlots slots : shard.targets()) {
			long score = Rendezvous.score(pending.ask().chatHash(), slots.nameHash());
			boolean better = best == null || Long.compareUnsigned(score, bestScore) > 0;
			if (better && isFree(shard, slots, pending, bound, nowMillis)) {
				best = slots;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean isFree(Shard shard, TargetSlots slots, PendingAsk pending, int bound, long nowMillis) {
		int limit = Math.min(bound, slots.target().slots()) * shard.routerSharePercent() / PERCENT;
		return slots.isOpen() && slots.used(nowMillis) < limit
				&& !pending.ask().excludedTargets().contains(slots.target().id());
	}

}
