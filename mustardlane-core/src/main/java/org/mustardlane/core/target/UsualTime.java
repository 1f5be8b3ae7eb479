package org.mustardlane.core.target;

import java.util.Collection;
import java.util.function.Function;

/**
 * What is usual for a quantity among the targets of a shard: the 90th percentile of their
 * newest samples, which may fall at once and rises slowly.
 *
 * <p>
 * A high percentile, so that a run of answers without a cached prefix is not taken for
 * slowness; a slow rise, so that a slowdown of most targets does not become usual at
 * once. Not thread-safe.
 */
final class UsualTime {

	private static final double PERCENTILE = 0.9;

	private static final double RISE = 1.005;

	private static final double SLOW_FACTOR = 2;

	private static final int SLACK_MILLIS = 20;

	private final Function<TargetHealth, SampleWindow> quantity;

	private double usualMillis;

	UsualTime(Function<TargetHealth, SampleWindow> quantity) {
		this.quantity = quantity;
	}

	void learn(Collection<TargetHealth> targets) {
		long[] sorted = targets.stream()
			.filter(TargetHealth::isOpen)
			.flatMapToLong((target) -> this.quantity.apply(target).samples())
			.sorted()
			.toArray();
		if (sorted.length > 0) {
			double percentile = sorted[(int) ((sorted.length - 1) * PERCENTILE)];
			this.usualMillis = (this.usualMillis != 0) ? Math.min(percentile, this.usualMillis * RISE + RISE)
					: percentile;
		}
	}

	/**
	 * Returns how far a target is above what is usual.
	 * @param target the target
	 * @return above 1 where it is slow
	 */
	double excess(TargetHealth target) {
		return this.quantity.apply(target).median() / (SLOW_FACTOR * this.usualMillis + SLACK_MILLIS);
	}

}
