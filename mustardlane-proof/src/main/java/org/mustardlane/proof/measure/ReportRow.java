package org.mustardlane.proof.measure;

import java.util.Optional;

/**
 * A figure, side by side for the ways that were measured; not a number where it was not
 * measured.
 *
 * @param experiment the row of the table
 * @param figure what was measured
 * @param naive the naive way
 * @param chosen the chosen way
 * @param allSeeing one router that sees everything
 */
record ReportRow(String experiment, String figure, double naive, double chosen, double allSeeing) {

	Optional<Goal> goal() {
		return Goal.of(this.experiment, this.figure);
	}

	boolean isMissed() {
		return goal().filter((goal) -> !goal.isMetBy(this.chosen)).isPresent();
	}

	String verdict() {
		return goal().map((goal) -> isMissed() ? "MISSED" : "met").orElse("");
	}

	String goalText() {
		return goal().map(Goal::text).orElse("");
	}

}
