package org.mustardlane.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * Takes the next target with a free slot, whatever its load.
 */
final class RoundRobinChoice implements TargetChoice {

	private int next;

	@Override
	public Optional<TargetSlots> choose(Shard shard, PendingAsk pending, long nowMillis) {
		List<TargetSlots> targets = List.copyOf(shard.targets());
		for (int i = 0; i < targets.size(); i++) {
			TargetSlots slots = targets.get((this.next + i) % targets.size());
			if (isFree(slots, pending, nowMillis)) {
				this.next = (this.next + i + 1) % targets.size();
				return Optional.of(slots);
			}
		}
		return Optional.empty();
	}

	private static boolean isFree(TargetSlots slots, PendingAsk pending, long nowMillis) {
		return !slots.isLeaving() && !pending.ask().excludedTargets().contains(slots.target().id())
				&& slots.used(nowMillis) < slots.target().slots();
	}

}
