package org.mustardlane.proof.measure;

import java.util.LinkedHashMap;
import java.util.Map;

import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.WaitUtils;

/**
 * Measures the traffic between routers while there are no requests.
 */
final class ControlTrafficExperiment implements Experiment {

	static final String IDLE_BYTES = "bytes a second and router between routers, idle";

	private static final long DURATION_MILLIS = 10_000;

	private static final double MILLIS_PER_SECOND = 1000;

	@Override
	public String name() {
		return "control traffic";
	}

	@Override
	public Map<String, Double> run(ExperimentSetup setup) throws FleetException {
		long bytesBefore = setup.fleet().links().bytesBetweenRouters();
		WaitUtils.sleep(DURATION_MILLIS);
		double sentBytes = setup.fleet().links().bytesBetweenRouters() - bytesBefore;
		int routers = setup.fleet().runningRouters().size();
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(IDLE_BYTES, sentBytes * MILLIS_PER_SECOND / DURATION_MILLIS / routers);
		return figures;
	}

}
