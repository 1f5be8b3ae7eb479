package org.mustardlane.proof.measure;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.HdrHistogram.Histogram;

import org.mustardlane.proof.caller.CallResult;

/**
 * Computes percentiles and shares of call samples.
 */
final class SampleStatistics {

	private static final int HISTOGRAM_DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1000;

	private SampleStatistics() {
	}

	/**
	 * Returns a percentile of a duration over the answered calls.
	 * @param samples the calls
	 * @param percentile the percentile
	 * @param durationMicros returns the duration of a call in microseconds
	 * @return the percentile in milliseconds, or NaN if no call was answered
	 */
	static double percentileMillis(Collection<CallSample> samples, double percentile,
			ToLongFunction<CallResult> durationMicros) {
		Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
		samples.stream()
			.filter(CallSample::isAnswered)
			.forEach((sample) -> histogram.recordValue(Math.max(0, durationMicros.applyAsLong(sample.result()))));
		if (histogram.getTotalCount() == 0) {
			return Double.NaN;
		}
		return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	/**
	 * Returns a percentile of the total duration over all calls, answered or not.
	 * @param samples the calls
	 * @param percentile the percentile
	 * @return the percentile in milliseconds, or NaN if there are no calls
	 */
	static double percentileOfAllMillis(Collection<CallSample> samples, double percentile) {
		if (samples.isEmpty()) {
			return Double.NaN;
		}
		Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
		samples.forEach((sample) -> histogram.recordValue(sample.result().durationMicros()));
		return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	/**
	 * Returns the samples of a group.
	 * @param samples the calls
	 * @param group the group
	 * @return the calls of the group
	 */
	static List<CallSample> samplesOfGroup(List<CallSample> samples, String group) {
		return samples.stream().filter((sample) -> sample.call().group().equals(group)).toList();
	}

	/**
	 * Returns the share of calls that match a condition.
	 * @param samples the calls
	 * @param condition the condition
	 * @return the share, or NaN if there are no calls
	 */
	static double shareMatching(List<CallSample> samples, Predicate<CallSample> condition) {
		return samples.isEmpty() ? Double.NaN : (double) samples.stream().filter(condition).count() / samples.size();
	}

}
