package org.mustardlane.proof.measure;

import java.nio.file.Path;
import java.util.List;

/**
 * What is to be measured.
 *
 * @param seed seed of engines and traces
 * @param isChecked whether a missed target fails the run
 * @param isNaiveDirect whether the naive way calls the engines without routers
 * @param routers number of routers
 * @param rows beginnings of the names of the rows, empty for all
 * @param directory where CSV and HTML go
 */
record MeasureSettings(long seed, boolean isChecked, boolean isNaiveDirect, int routers, List<String> rows,
		Path directory) {

	boolean isWanted(String experiment) {
		return this.rows.isEmpty() || this.rows.stream().anyMatch(experiment::startsWith);
	}

}
