package org.mustardlane.proof.measure;

import java.util.Optional;

/**
 * The values of one figure for the compared ways of routing. A value is NaN if it was not
 * measured.
 *
 * @param experiment the name of the experiment
 * @param figure the name of the figure
 * @param naive the value with naive routing
 * @param chosen the value with the default policy
 * @param singleRouter the value with a single router that sees all requests
 */
record ReportRow(String experiment, String figure, double naive, double chosen, double singleRouter) {

	Optional<Goal> goal() {
		return Goal.of(this.experiment, this.figure);
	}

	boolean isMissed() {
		return goal().filter((goal) -> !goal.isMetBy(this.chosen)).isPresent();
	}

	String verdict() {
		return goal().map((goal) -> isMissed() ? "MISSED" : "met").orElse("");
	}

	String goalDescription() {
		return goal().map(Goal::description).orElse("");
	}

}
