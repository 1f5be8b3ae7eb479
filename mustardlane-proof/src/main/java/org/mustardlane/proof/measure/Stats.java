package org.mustardlane.proof.measure;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.HdrHistogram.Histogram;

import org.mustardlane.proof.caller.CallResult;

/**
 * Quantiles and shares of samples.
 */
final class Stats {

	private static final int HISTOGRAM_DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1000;

	private Stats() {
	}

	/**
	 * Returns a percentile over the answered calls.
	 * @param samples the calls
	 * @param percentile the percentile
	 * @param micros what is measured of each
	 * @return the percentile in milliseconds, not a number where no call was answered
	 */
	static double percentileMillis(Collection<CallSample> samples, double percentile,
			ToLongFunction<CallResult> micros) {
		Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
		samples.stream()
			.filter(CallSample::isAnswered)
			.forEach((sample) -> histogram.recordValue(Math.max(0, micros.applyAsLong(sample.result()))));
		if (histogram.getTotalCount() == 0) {
			return Double.NaN;
		}
		return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	/**
	 * Returns a percentile of the whole time over calls, whatever became of them.
	 * @param samples the calls
	 * @param percentile the percentile
	 * @return the percentile in milliseconds, not a number where there is no call
	 */
	static double percentileOfAllMillis(Collection<CallSample> samples, double percentile) {
		if (samples.isEmpty()) {
			return Double.NaN;
		}
		Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
		samples.forEach((sample) -> histogram.recordValue(sample.result().totalMicros()));
		return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	/**
	 * Returns the samples of a group.
	 * @param samples the calls
	 * @param group the group
	 * @return those of the group
	 */
	static List<CallSample> group(List<CallSample> samples, String group) {
		return samples.stream().filter((sample) -> sample.call().group().equals(group)).toList();
	}

	/**
	 * Returns the share of calls for which something holds.
	 * @param samples the calls
	 * @param holds what may hold
	 * @return the share, not a number where there is no call
	 */
	static double share(List<CallSample> samples, Predicate<CallSample> holds) {
		return samples.isEmpty() ? Double.NaN : (double) samples.stream().filter(holds).count() / samples.size();
	}

}
