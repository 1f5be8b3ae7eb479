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
final class LatencyBaseline {

	private static final double PERCENTILE = 0.9;

	private static final double MAX_RISE_FACTOR = 1.005;

	private static final double MAX_FALL_FACTOR = 0.998;

	private static final int WARM_UP_UPDATES = 100;

	private static final double SLOW_FACTOR = 2;

	private static final int SLACK_MILLIS = 20;

	private final Function<TargetHealth, SampleWindow> sampleWindow;

	private double baselineMillis;

	private int updateCount;

	LatencyBaseline(Function<TargetHealth, SampleWindow> sampleWindow) {
		this.sampleWindow = sampleWindow;
	}

	void update(Collection<TargetHealth> targets) {
		List<SampleWindow> fastestFirst = targets.stream()
			.filter(TargetHealth::isOpen)
			.map(this.sampleWindow)
			.filter((window) -> window.count() > 0)
			.sorted(Comparator.comparingLong(SampleWindow::median))
			.toList();
		long[] sortedSamples = fastestFirst.stream()
			.limit(Math.max(1, fastestFirst.size() - 1))
			.flatMapToLong(SampleWindow::samples)
			.sorted()
			.toArray();
		if (sortedSamples.length > 0) {
			double percentileMillis = sortedSamples[(int) ((sortedSamples.length - 1) * PERCENTILE)];
			this.baselineMillis = (this.updateCount < WARM_UP_UPDATES) ? Math.max(this.baselineMillis, percentileMillis)
					: followSlowly(percentileMillis);
			this.updateCount++;
		}
	}

	private double followSlowly(double percentileMillis) {
		double maxMillis = this.baselineMillis * MAX_RISE_FACTOR + MAX_RISE_FACTOR;
		double minMillis = this.baselineMillis * MAX_FALL_FACTOR;
		return Math.max(minMillis, Math.min(maxMillis, percentileMillis));
	}

	/**
	 * Compares the median of a target with the threshold for slowness.
	 * @param target the target
	 * @return the ratio of the median to the threshold, above 1 for a slow target; 0 if
	 * there is no baseline yet
	 */
	double slownessRatio(TargetHealth target) {
		if (this.updateCount == 0) {
			return 0;
		}
		return this.sampleWindow.apply(target).median() / (SLOW_FACTOR * this.baselineMillis + SLACK_MILLIS);
	}

}
