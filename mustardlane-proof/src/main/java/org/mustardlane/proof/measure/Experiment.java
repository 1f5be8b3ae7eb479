package org.mustardlane.proof.measure;

import java.util.Map;

import org.mustardlane.proof.fleet.FleetException;

/**
 * One experiment of the report, which is run with each compared way of routing.
 */
interface Experiment {

	/**
	 * Returns the name of the experiment in the report.
	 * @return the name
	 */
	String name();

	/**
	 * Sends the load and measures.
	 * @param setup the fleet and parameters
	 * @return the measured figures by name
	 * @throws FleetException if the fleet fails or a call does not end in time
	 */
	Map<String, Double> run(ExperimentSetup setup) throws FleetException;

}
