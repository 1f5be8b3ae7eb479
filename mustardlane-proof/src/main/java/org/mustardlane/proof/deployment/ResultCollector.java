package org.mustardlane.proof.deployment;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Collects the measurements of a simulation run.
 *
 * <p>
 * Not thread-safe.
 */
final class ResultCollector {

	private static final int HISTOGRAM_DIGITS = 3;

	private static final int MEDIAN = 50;

	private static final int HIGH_PERCENTILE = 99;

	private static final int WINDOW_MILLIS = 2000;

	private static final int MIN_WINDOW_CALLS = 20;

	private static final double LOAD_BOUND_FACTOR = 2;

	private static final double LOAD_BOUND_SLACK = 3;

	private final Histogram firstTokenMillis = new Histogram(HISTOGRAM_DIGITS);

	private final Map<Integer, int[]> windows = new HashMap<>();

	private int calls;

	private int onTimeCalls;

	private int refusedCalls;

	private int failedCalls;

	private int sends;

	private int sendsOverBound;

	void recordArrival(SimulatedCall call) {
		this.calls++;
		windowCounts(call)[0]++;
	}

	private int[] windowCounts(SimulatedCall call) {
		return this.windows.computeIfAbsent((int) (call.arrivalMillis() / WINDOW_MILLIS), (number) -> new int[2]);
	}

	void recordFirstToken(SimulatedCall call, double nowMillis) {
		double elapsedMillis = nowMillis - call.arrivalMillis();
		this.firstTokenMillis.recordValue((long) elapsedMillis);
		if (elapsedMillis <= call.type().firstTokenObjectiveMillis()) {
			this.onTimeCalls++;
			windowCounts(call)[1]++;
		}
	}

	void recordRefusal() {
		this.refusedCalls++;
	}

	void recordFailure() {
		this.failedCalls++;
	}

	/**
	 * Records that a call reached an engine.
	 * @param load number of requests that the engine runs or queues
	 * @param meanLoad mean load of the running engines
	 */
	void recordSend(int load, double meanLoad) {
		this.sends++;
		if (load > LOAD_BOUND_FACTOR * meanLoad + LOAD_BOUND_SLACK) {
			this.sendsOverBound++;
		}
	}

	SimulationResult toResult(long processedPrefixTokens) {
		double worstWindowShare = this.windows.values()
			.stream()
			.filter((counts) -> counts[0] >= MIN_WINDOW_CALLS)
			.mapToDouble((counts) -> (double) counts[1] / counts[0])
			.min()
			.orElse(Double.NaN);
		return new SimulationResult(this.calls, ratio(this.onTimeCalls, this.calls),
				ratio(this.refusedCalls, this.calls), ratio(this.failedCalls, this.calls),
				this.firstTokenMillis.getValueAtPercentile(MEDIAN),
				this.firstTokenMillis.getValueAtPercentile(HIGH_PERCENTILE), worstWindowShare, processedPrefixTokens,
				ratio(this.sendsOverBound, this.sends));
	}

	private static double ratio(int part, int total) {
		return (total == 0) ? Double.NaN : (double) part / total;
	}

}
