package org.mustardlane.proof.measure;

import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a measurement.
 *
 * @param seed seed of the engines and traces
 * @param failsOnMissedGoal whether a missed goal fails the run
 * @param isNaiveDirect whether naive routing calls the engines directly instead of
 * through routers with the naive policy
 * @param routers number of routers
 * @param rows prefixes of the names of the experiments to run, or empty for all
 * @param directory the output directory of the CSV and HTML reports
 */
record MeasureSettings(long seed, boolean failsOnMissedGoal, boolean isNaiveDirect, int routers, List<String> rows,
		Path directory) {

	boolean isSelected(String experiment) {
		return this.rows.isEmpty() || this.rows.stream().anyMatch(experiment::startsWith);
	}

}
