package org.mustardlane.core.admission;

import java.util.Optional;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.Rendezvous;

/**
 * Rendezvous hashing with bounded loads: the first target in the order of the chat that
 * is below the load bound and has a free slot for the class.
 *
 * <p>
 * While an ask waits for the home target of its chat (delay scheduling) no other will do.
 * An ask without a chat takes the target with the least load.
 */
final class BoundedLoadChoice implements TargetChoice {

	private static final int PERCENT = 100;

	private static final long NO_CHAT = 0;

	/**
	 * Part of the prefix loss that the expected wait at home may reach.
	 */
	private static final double WORTH_WAITING = 0.5;

	private final AdmissionSettings settings;

	private final SlotLimits limits;

	BoundedLoadChoice(AdmissionSettings settings) {
		this.settings = settings;
		this.limits = new SlotLimits(settings);
	}

	@Override
	public Optional<TargetSlots> choose(Shard shard, PendingAsk pending, long nowMillis) {
		if (!this.limits.admits(shard, pending.ask().serviceClass(), nowMillis)) {
			return Optional.empty();
		}
		int bound = shard.pool().bound(nowMillis);
		Optional<TargetSlots> home = (nowMillis < pending.homeOnlyUntilMillis()) ? home(shard, pending)
				: Optional.empty();
		if (home.isPresent()) {
			return home.filter((slots) -> isFree(shard, slots, pending, bound, nowMillis));
		}
		return best(shard, pending, bound, nowMillis);
	}

	private Optional<TargetSlots> best(Shard shard, PendingAsk pending, int bound, long nowMillis) {
		TargetSlots best = null;
		long bestScore = 0;
		for (TargetSlots slots : shard.targets()) {
			long score = score(slots, pending);
			boolean better = best == null || Long.compareUnsigned(score, bestScore) > 0;
			if (better && isFree(shard, slots, pending, bound, nowMillis)) {
				best = slots;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best);
	}

	private static long score(TargetSlots slots, PendingAsk pending) {
		long chatHash = pending.ask().chatHash();
		return (chatHash != NO_CHAT) ? Rendezvous.score(chatHash, slots.nameHash())
				: Integer.MAX_VALUE - slots.granted() * (long) PERCENT / slots.target().slots();
	}

	private Optional<TargetSlots> home(Shard shard, PendingAsk pending) {
		TargetSlots home = null;
		for (TargetSlots slots : shard.targets()) {
			boolean candidate = slots.isOpen() && !isExcluded(slots, pending);
			if (candidate && (home == null || Long.compareUnsigned(score(slots, pending), score(home, pending)) > 0)) {
				home = slots;
			}
		}
		return Optional.ofNullable(home);
	}

	@Override
	public long homeWaitMillis(Shard shard, PendingAsk pending, long nowMillis) {
		if (pending.ask().chatHash() == NO_CHAT || !shard.hasOpenTarget()) {
			return 0;
		}
		double waitingPerTarget = shard.queue().size() / (double) shard.openTargets();
		return home(shard, pending).filter((home) -> home.granted() > 0)
			.filter((home) -> home.expectedReleaseMillis() * (1 + waitingPerTarget) <= this.settings.prefixLossMillis()
					* WORTH_WAITING)
			.map((home) -> (long) this.settings.prefixLossMillis())
			.orElse(0L);
	}

	private boolean isFree(Shard shard, TargetSlots slots, PendingAsk pending, int bound, long nowMillis) {
		if (slots.isLeaving() || isExcluded(slots, pending)) {
			return false;
		}
		ServiceClass serviceClass = pending.ask().serviceClass();
		if (slots.used(nowMillis) >= limit(shard, slots, bound, nowMillis)) {
			return false;
		}
		if (slots.health().sharePercent() == 0) {
			return mayProbe(shard, serviceClass, nowMillis) && slots.health().isProbeDue(nowMillis);
		}
		return serviceClass != ServiceClass.BULK
				|| slots.granted(ServiceClass.BULK) < this.limits.bulkLimit(shard, slots, nowMillis);
	}

	private static boolean mayProbe(Shard shard, ServiceClass serviceClass, long nowMillis) {
		return serviceClass != ServiceClass.URGENT || !shard.work().lesserIsAbout(nowMillis);
	}

	private static int limit(Shard shard, TargetSlots slots, int bound, long nowMillis) {
		int sharePercent = slots.health().sharePercent();
		int healthyPercent = (sharePercent != 0) ? sharePercent : PERCENT;
		int healthy = slots.target().slots() * healthyPercent * shard.routerSharePercent(slots, nowMillis)
				/ (PERCENT * PERCENT);
		return Math.min(bound, Math.max(1, healthy));
	}

	private static boolean isExcluded(TargetSlots slots, PendingAsk pending) {
		return pending.ask().excludedTargets().contains(slots.target().id());
	}

}
