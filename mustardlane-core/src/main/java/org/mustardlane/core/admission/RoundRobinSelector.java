package org.mustardlane.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the next target with a free slot, regardless of its load.
 */
final class RoundRobinSelector implements TargetSelector {

	private int nextIndex;

	@Override
	public Optional<TargetSlots> choose(Shard shard, PendingRequest pending, long nowMillis) {
		List<TargetSlots> targets = List.copyOf(shard.targets());
		for (int i = 0; i < targets.size(); i++) {
			TargetSlots slots = targets.get((this.nextIndex + i) % targets.size());
			if (isFree(slots, pending, nowMillis)) {
				this.nextIndex = (this.nextIndex + i + 1) % targets.size();
				return Optional.of(slots);
			}
		}
		return Optional.empty();
	}

	private static boolean isFree(TargetSlots slots, PendingRequest pending, long nowMillis) {
		return !slots.isLeaving() && !pending.request().excludedTargets().contains(slots.target().id())
				&& slots.slotsInUse(nowMillis) < slots.target().slots();
	}

}
