package org.mustardlane.proof.measure;

import java.util.List;
import java.util.Optional;

/**
 * The required range of a figure of the default routing policy.
 *
 * @param experiment the name of the experiment
 * @param figure the name of the figure
 * @param least the minimum value
 * @param most the maximum value
 */
record Goal(String experiment, String figure, double least, double most) {

	static final String REUSE_RATIO = "cache reuse over that of one all-seeing router";

	private static final double BYTES_PER_SECOND = 4096;

	private static final double ADDED_MILLIS = 1;

	private static final List<Goal> ALL = List.of(atLeast("cache reuse and load skew", REUSE_RATIO, 0.9),
			atMost("cache reuse and load skew", CacheExperiment.ABOVE_BOUND, 0),
			atMost("control traffic", ControlTrafficExperiment.IDLE_BYTES, BYTES_PER_SECOND),
			atLeast("crest", CrestExperiment.URGENT, 0.99), atLeast("crest", CrestExperiment.USEFUL, 0.95),
			atMost("crest", CrestExperiment.QUIET, 1.2), atMost("crest", CrestExperiment.REFUSAL_MILLIS, 100),
			atLeast("crest", CrestExperiment.RETRIES, 0.5), atMost("crest", CacheExperiment.ABOVE_BOUND, 0),
			atMost("head-of-line blocking", HeadOfLineExperiment.SHORT_RATIO, 1.3),
			atLeast("head-of-line blocking", HeadOfLineExperiment.LONG_SHARE, 0.8),
			atMost("tail", TailExperiment.RATIO, 1.5), atMost("tail", TailExperiment.EXTRA_WORK, 0.05),
			atMost("first token and tokens", FirstTokenExperiment.FIRST_MILLIS, 860),
			atMost("first token and tokens", FirstTokenExperiment.GAP_MILLIS, 28),
			atMost("router overhead", addedFigure(1), ADDED_MILLIS),
			atMost("router overhead", addedFigure(32), ADDED_MILLIS),
			atMost("router overhead", addedFigure(256), ADDED_MILLIS));

	static String addedFigure(int streams) {
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
		return value >= this.least && value <= this.most;
	}

	String text() {
		return (this.least > Double.NEGATIVE_INFINITY) ? "at least " + this.least : "at most " + this.most;
	}

	private static Goal atLeast(String experiment, String figure, double least) {
		return new Goal(experiment, figure, least, Double.POSITIVE_INFINITY);
	}

	private static Goal atMost(String experiment, String figure, double most) {
		return new Goal(experiment, figure, Double.NEGATIVE_INFINITY, most);
	}

}
