package org.mustardlane.core.admission;

import java.util.Optional;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.RendezvousHash;

/**
 * Chooses targets by rendezvous hashing with bounded loads: the first target in the
 * rendezvous order of the chat that is below the load bound and has a free slot for the
 * service class.
 *
 * <p>
 * Until its home wait deadline, a request waits for the home target of its chat and takes
 * no other (delay scheduling). A request without a chat takes the least loaded target.
 */
final class BoundedLoadSelector implements TargetSelector {

	private static final int PERCENT = 100;

	private static final long NO_CHAT = 0;

	/**
	 * Largest expected wait for the home target, as a fraction of the cost of a prefix
	 * miss.
	 */
	private static final double MAX_HOME_WAIT_RATIO = 0.5;

	private final AdmissionSettings settings;

	private final SlotLimits slotLimits;

	BoundedLoadSelector(AdmissionSettings settings) {
		this.settings = settings;
		this.slotLimits = new SlotLimits(settings);
	}

	@Override
	public Optional<TargetSlots> choose(Shard shard, PendingRequest pending, long nowMillis) {
		if (!this.slotLimits.admits(shard, pending.request().serviceClass(), nowMillis)) {
			return Optional.empty();
		}
		int loadBound = shard.pool().loadBound(nowMillis);
		Optional<TargetSlots> homeTarget = (nowMillis < pending.homeWaitDeadlineMillis())
				? findHomeTarget(shard, pending) : Optional.empty();
		if (homeTarget.isPresent()) {
			return homeTarget.filter((slots) -> isFree(shard, slots, pending, loadBound, nowMillis));
		}
		return findBestFreeTarget(shard, pending, loadBound, nowMillis);
	}

	private Optional<TargetSlots> findBestFreeTarget(Shard shard, PendingRequest pending, int loadBound,
			long nowMillis) {
		TargetSlots bestTarget = null;
		long bestScore = 0;
		for (TargetSlots slots : shard.targets()) {
			long score = score(slots, pending);
			boolean isBetter = bestTarget == null || Long.compareUnsigned(score, bestScore) > 0;
			if (isBetter && isFree(shard, slots, pending, loadBound, nowMillis)) {
				bestTarget = slots;
				bestScore = score;
			}
		}
		return Optional.ofNullable(bestTarget);
	}

	private static long score(TargetSlots slots, PendingRequest pending) {
		long chatHash = pending.request().chatHash();
		return (chatHash != NO_CHAT) ? RendezvousHash.score(chatHash, slots.nameHash())
				: Integer.MAX_VALUE - slots.grantCount() * (long) PERCENT / slots.target().slots();
	}

	private Optional<TargetSlots> findHomeTarget(Shard shard, PendingRequest pending) {
		TargetSlots homeTarget = null;
		for (TargetSlots slots : shard.targets()) {
			boolean isCandidate = slots.isOpen() && !isExcluded(slots, pending);
			if (isCandidate && (homeTarget == null
					|| Long.compareUnsigned(score(slots, pending), score(homeTarget, pending)) > 0)) {
				homeTarget = slots;
			}
		}
		return Optional.ofNullable(homeTarget);
	}

	@Override
	public long homeWaitMillis(Shard shard, PendingRequest pending, long nowMillis) {
		if (pending.request().chatHash() == NO_CHAT || !shard.hasOpenTarget()) {
			return 0;
		}
		double queuedPerTarget = shard.queue().size() / (double) shard.openTargetCount();
		return findHomeTarget(shard, pending).filter((homeTarget) -> homeTarget.grantCount() > 0)
			.filter((homeTarget) -> homeTarget.expectedMillisToRelease()
					* (1 + queuedPerTarget) <= this.settings.prefixMissMillis() * MAX_HOME_WAIT_RATIO)
			.map((homeTarget) -> (long) this.settings.prefixMissMillis())
			.orElse(0L);
	}

	private boolean isFree(Shard shard, TargetSlots slots, PendingRequest pending, int loadBound, long nowMillis) {
		if (slots.isLeaving() || isExcluded(slots, pending)) {
			return false;
		}
		ServiceClass serviceClass = pending.request().serviceClass();
		if (slots.slotsInUse(nowMillis) >= grantLimit(shard, slots, loadBound, nowMillis)) {
			return false;
		}
		if (slots.health().slotSharePercent() == 0) {
			return mayProbe(shard, serviceClass, nowMillis) && slots.health().isProbeDue(nowMillis);
		}
		return serviceClass != ServiceClass.BULK
				|| slots.grantCount(ServiceClass.BULK) < this.slotLimits.bulkLimit(shard, slots, nowMillis);
	}

	private static boolean mayProbe(Shard shard, ServiceClass serviceClass, long nowMillis) {
		return serviceClass != ServiceClass.URGENT || !shard.recentDemand().hasRecentNonUrgent(nowMillis);
	}

	private static int grantLimit(Shard shard, TargetSlots slots, int loadBound, long nowMillis) {
		int slotSharePercent = slots.health().slotSharePercent();
		int healthyPercent = (slotSharePercent != 0) ? slotSharePercent : PERCENT;
		int healthySlots = slots.target().slots() * healthyPercent * shard.grantableSharePercent(slots, nowMillis)
				/ (PERCENT * PERCENT);
		return Math.min(loadBound, Math.max(1, healthySlots));
	}

	private static boolean isExcluded(TargetSlots slots, PendingRequest pending) {
		return pending.request().excludedTargets().contains(slots.target().id());
	}

}
