package org.mustardlane.proof.measure;

import java.util.Map;

import org.mustardlane.proof.fleet.FleetException;

/**
 * Measures one row of the table for one way of routing.
 */
interface Experiment {

	/**
	 * Returns the name of the row.
	 * @return the name
	 */
	String name();

	/**
	 * Plays the load and measures.
	 * @param bench what it runs on
	 * @return the figures by name
	 * @throws FleetException if the fleet fails
	 */
	Map<String, Double> run(Bench bench) throws FleetException;

}
