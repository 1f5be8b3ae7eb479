package org.mustardlane.core.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Compares the targets of a shard, reduces the slot share of slow and failing targets and
 * increases it again when they recover.
 *
 * <p>
 * A target is slow if it is silent, or if its median time to first token or its median
 * token gap is far above the baseline of the shard. A target is closed while its slot
 * share is below half. At most half of the targets are closed for slowness. If all
 * targets fail, all of them get their full share back. Not thread-safe.
 */
public final class OutlierDetector {

	private final LatencyBaseline firstTokenBaseline = new LatencyBaseline(TargetHealth::firstTokens);

	private final LatencyBaseline tokenGapBaseline = new LatencyBaseline(TargetHealth::tokenGaps);

	/**
	 * Updates the slot shares of the targets. Must be called at regular intervals,
	 * because each call moves the baselines and shares by one step.
	 * @param targets the targets that are not leaving
	 * @param nowMillis the current time
	 * @return true if a target was opened or closed
	 */
	public boolean review(Collection<TargetHealth> targets, long nowMillis) {
		List<TargetHealth> previouslyOpen = targets.stream().filter(TargetHealth::isOpen).toList();
		if (!targets.isEmpty() && targets.stream().allMatch(TargetHealth::isFailing)) {
			targets.forEach(TargetHealth::restoreFullShare);
		}
		else {
			this.firstTokenBaseline.update(targets);
			this.tokenGapBaseline.update(targets);
			updateShares(targets, nowMillis);
		}
		return !targets.stream().filter(TargetHealth::isOpen).toList().equals(previouslyOpen);
	}

	private void updateShares(Collection<TargetHealth> targets, long nowMillis) {
		List<TargetHealth> slowestFirst = targets.stream()
			.filter((target) -> !target.isFailing())
			.sorted(Comparator.comparingDouble(this::slowness).reversed())
			.toList();
		targets.stream().filter(TargetHealth::isFailing).forEach((target) -> target.reduceShare(nowMillis));
		long remainingClosures = targets.size() / 2
				- slowestFirst.stream().filter((target) -> !target.isOpen()).count();
		for (TargetHealth target : slowestFirst) {
			if (!target.isOpen()) {
				updateClosedTarget(target, nowMillis);
			}
			else if (remainingClosures > 0 && isSlow(target)) {
				target.reduceShare(nowMillis);
				remainingClosures -= target.isOpen() ? 0 : 1;
			}
			else {
				target.increaseShare();
			}
		}
	}

	private void updateClosedTarget(TargetHealth target, long nowMillis) {
		if (target.hasSamples() && !isSlow(target)) {
			target.increaseShare();
		}
		else {
			target.reduceShare(nowMillis);
		}
	}

	private boolean isSlow(TargetHealth target) {
		return target.isSilent() || (target.hasSamples() && slowness(target) > 1);
	}

	private double slowness(TargetHealth target) {
		if (target.isSilent()) {
			return Double.MAX_VALUE;
		}
		return Math.max(this.firstTokenBaseline.slownessRatio(target), this.tokenGapBaseline.slownessRatio(target));
	}

}
