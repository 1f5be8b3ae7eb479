package org.mustardlane.proof.measure;

import java.util.List;
import java.util.Optional;

/**
 * The required range of a figure of the default routing policy.
 *
 * @param experiment the name of the experiment
 * @param figure the name of the figure
 * @param minimum the minimum value
 * @param maximum the maximum value
 */
record Goal(String experiment, String figure, double minimum, double maximum) {

	static final String CACHE_REUSE_RATIO = "cache reuse over that of one all-seeing router";

	private static final double MAX_IDLE_BYTES_PER_SECOND = 4096;

	private static final double MAX_ADDED_MILLIS = 1;

	private static final List<Goal> ALL = List.of(atLeast("cache reuse and load skew", CACHE_REUSE_RATIO, 0.9),
			atMost("cache reuse and load skew", CacheExperiment.OVERLOADED_SAMPLE_SHARE, 0),
			atMost("control traffic", ControlTrafficExperiment.IDLE_BYTES, MAX_IDLE_BYTES_PER_SECOND),
			atLeast("crest", LoadPeakExperiment.URGENT_ANSWERED, 0.99),
			atLeast("crest", LoadPeakExperiment.USEFUL_TOKENS, 0.95),
			atMost("crest", LoadPeakExperiment.QUIET_LATENCY_RATIO, 1.2),
			atMost("crest", LoadPeakExperiment.REFUSAL_P99_MILLIS, 100),
			atLeast("crest", LoadPeakExperiment.RETRIES_ANSWERED, 0.5),
			atMost("crest", CacheExperiment.OVERLOADED_SAMPLE_SHARE, 0),
			atMost("head-of-line blocking", HeadOfLineExperiment.SHORT_LATENCY_RATIO, 1.3),
			atLeast("head-of-line blocking", HeadOfLineExperiment.LONG_WORK_SHARE, 0.8),
			atMost("tail", TailLatencyExperiment.FIRST_TOKEN_RATIO, 1.5),
			atMost("tail", TailLatencyExperiment.EXTRA_REQUESTS, 0.05),
			atMost("first token and tokens", FirstTokenExperiment.FIRST_TOKEN_P95_MILLIS, 860),
			atMost("first token and tokens", FirstTokenExperiment.TOKEN_GAP_P95_MILLIS, 28),
			atMost("router overhead", addedMedianFigure(1), MAX_ADDED_MILLIS),
			atMost("router overhead", addedMedianFigure(32), MAX_ADDED_MILLIS),
			atMost("router overhead", addedMedianFigure(256), MAX_ADDED_MILLIS));

	static String addedMedianFigure(int streams) {
		return "median added to the whole answer in ms at %d streams".formatted(streams);
	}

	/**
	 * Returns the goal of a figure.
	 * @param experiment the name of the experiment
	 * @param figure the name of the figure
	 * @return the goal, or empty if the figure has none
	 */
	static Optional<Goal> of(String experiment, String figure) {
		return ALL.stream()
			.filter((goal) -> goal.experiment().equals(experiment) && goal.figure().equals(figure))
			.findFirst();
	}

	boolean isMetBy(double value) {
		return value >= this.minimum && value <= this.maximum;
	}

	String description() {
		return (this.minimum > Double.NEGATIVE_INFINITY) ? "at least " + this.minimum : "at most " + this.maximum;
	}

	private static Goal atLeast(String experiment, String figure, double minimum) {
		return new Goal(experiment, figure, minimum, Double.POSITIVE_INFINITY);
	}

	private static Goal atMost(String experiment, String figure, double maximum) {
		return new Goal(experiment, figure, Double.NEGATIVE_INFINITY, maximum);
	}

}
