package org.mustardlane.core.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Compares the targets of a shard, reduces the slot share of slow and failing targets and
 * restores it when they recover.
 *
 * <p>
 * A target is slow if it is silent, or if its median time to first token or its median
 * token gap is far above the baseline of the shard. At most half of the targets are
 * closed for slowness. If all targets fail, all are restored. Not thread-safe.
 */
public final class HealthReview {

	private final UsualTime firstToken = new UsualTime(TargetHealth::firstTokens);

	private final UsualTime tokenGap = new UsualTime(TargetHealth::tokenGaps);

	/**
	 * Updates the slot shares of the targets. Must be called at regular intervals,
	 * because each call moves the baselines and shares by one step.
	 * @param targets the targets that are not leaving
	 * @param nowMillis the current time
	 * @return true if a target was opened or closed
	 */
	public boolean review(Collection<TargetHealth> targets, long nowMillis) {
		List<TargetHealth> openBefore = targets.stream().filter(TargetHealth::isOpen).toList();
		if (!targets.isEmpty() && targets.stream().allMatch(TargetHealth::isFailing)) {
			targets.forEach(TargetHealth::restore);
		}
		else {
			this.firstToken.learn(targets);
			this.tokenGap.learn(targets);
			ease(targets, nowMillis);
		}
		return !targets.stream().filter(TargetHealth::isOpen).toList().equals(openBefore);
	}

	private void ease(Collection<TargetHealth> targets, long nowMillis) {
		List<TargetHealth> slowestFirst = targets.stream()
			.filter((target) -> !target.isFailing())
			.sorted(Comparator.comparingDouble(this::slowness).reversed())
			.toList();
		targets.stream().filter(TargetHealth::isFailing).forEach((target) -> target.easeOut(nowMillis));
		long room = targets.size() / 2 - slowestFirst.stream().filter((target) -> !target.isOpen()).count();
		for (TargetHealth target : slowestFirst) {
			if (!target.isOpen()) {
				easeClosed(target, nowMillis);
			}
			else if (room > 0 && isSlow(target)) {
				target.easeOut(nowMillis);
				room -= target.isOpen() ? 0 : 1;
			}
			else {
				target.easeIn();
			}
		}
	}

	private void easeClosed(TargetHealth target, long nowMillis) {
		if (target.hasSamples() && !isSlow(target)) {
			target.easeIn();
		}
		else {
			target.easeOut(nowMillis);
		}
	}

	private boolean isSlow(TargetHealth target) {
		return target.isSilent() || (target.hasSamples() && slowness(target) > 1);
	}

	private double slowness(TargetHealth target) {
		if (target.isSilent()) {
			return Double.MAX_VALUE;
		}
		return Math.max(this.firstToken.excess(target), this.tokenGap.excess(target));
	}

}
