package org.mustardlane.proof.deployment;

/**
 * Number and kind of the VMs of a simulated deployment.
 *
 * @param routers number of routers
 * @param engines number of engines
 * @param domains number of failure domains, to which routers and engines are assigned in
 * turn
 * @param engineSettings performance and capacity of each engine
 */
public record FleetSize(int routers, int engines, int domains, SimulatedEngineSettings engineSettings) {

	/**
	 * A deployment as specified for the users' first sites.
	 */
	public static final FleetSize SITE = new FleetSize(15, 8, 3, SimulatedEngineSettings.SITE_ENGINE);

	/**
	 * A deployment as specified for the users' large fleets: each router sends few of the
	 * calls to each engine.
	 */
	public static final FleetSize LARGE = new FleetSize(95, 59, 5, SimulatedEngineSettings.LARGE_FLEET_ENGINE);

}
