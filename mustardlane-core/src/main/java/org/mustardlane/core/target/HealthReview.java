package org.mustardlane.core.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Compares the targets of a shard, eases out the slow and the failing ones and lets them
 * back in.
 *
 * <p>
 * A target is slow where its median first token or gap is several times the reference:
 * the median of the shard, or what that was before where it has risen fast. At most half
 * of the targets are out for slowness. Where all fail, all are tried. Not thread-safe.
 */
public final class HealthReview {

	private static final int SLOW_FACTOR = 3;

	private static final int SLACK_MILLIS = 20;

	private static final double REFERENCE_GROWTH = 1.02;

	private double referenceFirstTokenMillis;

	private double referenceGapMillis;

	/**
	 * Reviews the targets; to be called at a steady pace.
	 * @param targets the targets that are not leaving
	 * @return whether a target was opened or closed
	 */
	public boolean review(Collection<TargetHealth> targets) {
		long openBefore = targets.stream().filter(TargetHealth::isOpen).count();
		if (!targets.isEmpty() && targets.stream().allMatch(TargetHealth::isFailing)) {
			targets.forEach(TargetHealth::restore);
		}
		else {
			learnReferences(targets);
			ease(targets);
		}
		return targets.stream().filter(TargetHealth::isOpen).count() != openBefore;
	}

	private void learnReferences(Collection<TargetHealth> targets) {
		List<TargetHealth> sampled = targets.stream().filter(TargetHealth::hasSamples).toList();
		if (!sampled.isEmpty()) {
			this.referenceFirstTokenMillis = follow(this.referenceFirstTokenMillis,
					median(sampled, TargetHealth::firstTokenMillis));
			this.referenceGapMillis = follow(this.referenceGapMillis, median(sampled, TargetHealth::tokenGapMillis));
		}
	}

	private static double follow(double reference, long median) {
		return (reference == 0) ? median : Math.min(median, reference * REFERENCE_GROWTH + 1);
	}

	private static long median(List<TargetHealth> targets, ToLongFunction<TargetHealth> quantity) {
		long[] sorted = targets.stream().mapToLong(quantity).sorted().toArray();
		return sorted[(sorted.length - 1) / 2];
	}

	private void ease(Collection<TargetHealth> targets) {
		List<TargetHealth> slowestFirst = targets.stream()
			.filter((target) -> !target.isFailing())
			.sorted(Comparator.comparingDouble(this::slowness).reversed())
			.toList();
		targets.stream().filter(TargetHealth::isFailing).forEach(TargetHealth::easeOut);
		int room = targets.size() / 2;
		for (TargetHealth target : slowestFirst) {
			if (room > 0 && isSlow(target)) {
				room--;
				target.easeOut();
			}
			else if (target.isOpen() || target.hasSamples()) {
				target.easeIn();
			}
		}
	}

	private boolean isSlow(TargetHealth target) {
		return target.isSilent() || (target.hasSamples() && slowness(target) > 1);
	}

	private double slowness(TargetHealth target) {
		if (target.isSilent()) {
			return Double.MAX_VALUE;
		}
		return Math.max(excess(target.firstTokenMillis(), this.referenceFirstTokenMillis),
				excess(target.tokenGapMillis(), this.referenceGapMillis));
	}

	private static double excess(long millis, double referenceMillis) {
		return millis / (SLOW_FACTOR * referenceMillis + SLACK_MILLIS);
	}

}
