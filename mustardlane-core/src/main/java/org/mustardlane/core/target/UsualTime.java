package org.mustardlane.core.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * The normal time to first token, or token gap, among the open targets of a shard. The
 * baseline slowly follows the 90th percentile of the most recent samples of all targets
 * but the slowest.
 *
 * <p>
 * A high percentile keeps a series of responses without a cached prefix from being taken
 * for slowness. Following it slowly keeps a slowdown of most targets, or a series of
 * responses with a cached prefix, from becoming the normal value at once. Not
 * thread-safe.
 */
final class UsualTime {

	private static final double PERCENTILE = 0.9;

	private static final double RISE = 1.005;

	private static final double FALL = 0.998;

	private static final int TRUSTED_REVIEWS = 100;

	private static final double SLOW_FACTOR = 2;

	private static final int SLACK_MILLIS = 20;

	private final Function<TargetHealth, SampleWindow> quantity;

	private double usualMillis;

	private int reviews;

	UsualTime(Function<TargetHealth, SampleWindow> quantity) {
		this.quantity = quantity;
	}

	void learn(Collection<TargetHealth> targets) {
		List<SampleWindow> fastestFirst = targets.stream()
			.filter(TargetHealth::isOpen)
			.map(this.quantity)
			.filter((window) -> window.count() > 0)
			.sorted(Comparator.comparingLong(SampleWindow::median))
			.toList();
		long[] sorted = fastestFirst.stream()
			.limit(Math.max(1, fastestFirst.size() - 1))
			.flatMapToLong(SampleWindow::samples)
			.sorted()
			.toArray();
		if (sorted.length > 0) {
			double percentile = sorted[(int) ((sorted.length - 1) * PERCENTILE)];
			this.usualMillis = (this.reviews < TRUSTED_REVIEWS) ? Math.max(this.usualMillis, percentile)
					: follow(percentile);
			this.reviews++;
		}
	}

	private double follow(double percentile) {
		double most = this.usualMillis * RISE + RISE;
		double least = this.usualMillis * FALL;
		return Math.max(least, Math.min(most, percentile));
	}

	/**
	 * Compares the median of a target with the threshold for slowness.
	 * @param target the target
	 * @return the ratio of the median to the threshold, above 1 for a slow target; 0 if
	 * there is no baseline yet
	 */
	double excess(TargetHealth target) {
		if (this.reviews == 0) {
			return 0;
		}
		return this.quantity.apply(target).median() / (SLOW_FACTOR * this.usualMillis + SLACK_MILLIS);
	}

}
