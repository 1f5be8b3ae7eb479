package org.mustardlane.proof.random;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.LinkState;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.Signal;
import org.mustardlane.proof.fleet.Waiting;

/**
 * Injects random faults into a fleet, one at a time, and repairs each one. The faults
 * follow from the seed.
 */
public final class RandomFaults implements AutoCloseable {

	private static final int SHORTEST_PAUSE_MILLIS = 200;

	private static final int PAUSE_SPREAD_MILLIS = 1500;

	private static final int LONGEST_FAULT_MILLIS = 3000;

	private static final int KINDS = 10;

	private static final int LATE_MILLIS = 2000;

	private final Fleet fleet;

	private final UniformRandomProvider random;

	private final List<String> domains;

	private final Thread thread = new Thread(this::run, "random-faults");

	private volatile boolean stopped;

	/**
	 * Starts injecting faults.
	 * @param fleet the fleet to disturb
	 * @param domains the failure domains of the fleet
	 * @param seed seed of the random choice of faults
	 */
	public RandomFaults(Fleet fleet, List<String> domains, long seed) {
		this.fleet = fleet;
		this.domains = List.copyOf(domains);
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.thread.start();
	}

	@Override
	public void close() throws FleetException {
		this.stopped = true;
		Waiting.until("the last fault is repaired", () -> !this.thread.isAlive());
	}

	private void run() {
		try {
			while (!this.stopped) {
				Waiting.pause(SHORTEST_PAUSE_MILLIS + this.random.nextInt(PAUSE_SPREAD_MILLIS));
				disturb(this.random.nextInt(KINDS), 1 + this.random.nextInt(LONGEST_FAULT_MILLIS));
			}
		}
		catch (FleetException ex) {
			throw new IllegalStateException("cannot inject a fault into the fleet", ex);
		}
	}

	private void disturb(int kind, int millis) throws FleetException {
		switch (kind) {
			case 0, 1 -> killRouter(millis);
			case 2 -> freezeRouter(millis);
			case 3 -> platform("{\"outage\":true}", millis);
			case 4 -> platform("{\"silent\":true}", millis);
			case 5 -> platform("{\"loseAppendAnswers\":2,\"streamPrefix\":\"claims\"}", millis);
			case 6 -> platform(
					"{\"lateAppends\":2,\"lateAppendMillis\":%d,\"streamPrefix\":\"claims\"}".formatted(LATE_MILLIS),
					millis);
			case 7 -> services("{\"loseAnswer\":true,\"times\":3}", millis);
			case 8 -> services("{\"resetConnections\":true,\"times\":3}", millis);
			default -> cutDomain(millis);
		}
	}

	private void killRouter(int millis) throws FleetException {
		RouterHandle router = anyRouter();
		this.fleet.killRouter(router.vm());
		Waiting.pause(millis);
		this.fleet.restartRouter(router.vm());
	}

	private void freezeRouter(int millis) throws FleetException {
		RouterHandle router = anyRouter();
		router.process().signal(Signal.STOP);
		Waiting.pause(2L * millis);
		router.process().signal(Signal.CONT);
	}

	private void platform(String faults, int millis) throws FleetException {
		this.fleet.platform().faults(faults);
		Waiting.pause(millis);
		this.fleet.platform().faults("{}");
	}

	private void services(String faults, int millis) throws FleetException {
		this.fleet.targets().allFaults(TargetKind.SERVICE, faults);
		Waiting.pause(millis);
		this.fleet.targets().allFaults(TargetKind.SERVICE, "{}");
	}

	private void cutDomain(int millis) throws FleetException {
		String cut = this.domains.get(this.random.nextInt(this.domains.size()));
		setLinks(cut, LinkState.SILENT);
		this.fleet.platform().faults(cut, "{\"silent\":true}");
		Waiting.pause(millis);
		this.fleet.platform().faults(cut, "{}");
		setLinks(cut, LinkState.OPEN);
	}

	private void setLinks(String domain, LinkState state) {
		for (String other : this.domains) {
			if (!other.equals(domain)) {
				this.fleet.links().set(domain, other, state);
			}
		}
	}

	private RouterHandle anyRouter() {
		List<RouterHandle> routers = this.fleet.liveRouters();
		return routers.get(this.random.nextInt(routers.size()));
	}

}
