package org.mustardlane.proof.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.TargetHandle;
import org.mustardlane.proof.fleet.WaitUtils;

/**
 * Samples the load of all engines periodically.
 */
final class EngineSampler implements AutoCloseable {

	private static final int SAMPLE_INTERVAL_MILLIS = 100;

	private final Fleet fleet;

	private final List<EngineLoads> samples = Collections.synchronizedList(new ArrayList<>());

	private final Thread thread = new Thread(this::sampleLoads, "engine-sampler");

	private volatile boolean stopped;

	EngineSampler(Fleet fleet) {
		this.fleet = fleet;
		this.thread.setDaemon(true);
		this.thread.start();
	}

	List<EngineLoads> samples() {
		return List.copyOf(this.samples);
	}

	@Override
	public void close() throws FleetException {
		this.stopped = true;
		WaitUtils.awaitCondition("the sampler thread has ended", () -> !this.thread.isAlive());
	}

	private void sampleLoads() {
		try {
			while (!this.stopped) {
				this.samples.add(readLoads());
				WaitUtils.sleep(SAMPLE_INTERVAL_MILLIS);
			}
		}
		catch (FleetException ex) {
			// The fleet is shutting down, so that sampling ends.
		}
	}

	private EngineLoads readLoads() throws FleetException {
		List<Integer> loads = new ArrayList<>();
		for (TargetHandle engine : this.fleet.targets().targetsOfKind(TargetKind.ENGINE)) {
			JsonNode state = this.fleet.standinClient().getJson(engine.url() + "/state");
			if (!state.path("leaving").asBoolean()) {
				loads.add(state.path("running").asInt() + state.path("waiting").asInt());
			}
		}
		return new EngineLoads(System.currentTimeMillis(), loads);
	}

	/**
	 * The load of the engines that are not leaving, at one time.
	 *
	 * @param atMillis the time in epoch milliseconds
	 * @param loads number of running and waiting requests of each engine
	 */
	record EngineLoads(long atMillis, List<Integer> loads) {

		double mean() {
			return this.loads.stream().mapToInt(Integer::intValue).average().orElse(0);
		}

		int maximum() {
			return this.loads.stream().mapToInt(Integer::intValue).max().orElse(0);
		}

	}

}
