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
import org.mustardlane.proof.fleet.WaitUtils;

/**
 * Injects random faults into a fleet, one at a time, and repairs each one. The faults
 * follow from the seed.
 */
public final class RandomFaultInjector implements AutoCloseable {

	private static final int MIN_PAUSE_MILLIS = 200;

	private static final int PAUSE_RANGE_MILLIS = 1500;

	private static final int MAX_FAULT_MILLIS = 3000;

	private static final int FAULT_KINDS = 10;

	private static final int LATE_APPEND_MILLIS = 2000;

	private final Fleet fleet;

	private final UniformRandomProvider random;

	private final List<String> domains;

	private final Thread thread = new Thread(this::injectFaults, "random-faults");

	private volatile boolean stopped;

	/**
	 * Starts injecting faults.
	 * @param fleet the fleet to disturb
	 * @param domains the failure domains of the fleet
	 * @param seed seed of the random choice of faults
	 */
	public RandomFaultInjector(Fleet fleet, List<String> domains, long seed) {
		this.fleet = fleet;
		this.domains = List.copyOf(domains);
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.thread.start();
	}

	@Override
	public void close() throws FleetException {
		this.stopped = true;
		WaitUtils.awaitCondition("the last fault is repaired", () -> !this.thread.isAlive());
	}

	private void injectFaults() {
		try {
			while (!this.stopped) {
				WaitUtils.sleep(MIN_PAUSE_MILLIS + this.random.nextInt(PAUSE_RANGE_MILLIS));
				injectFault(this.random.nextInt(FAULT_KINDS), 1 + this.random.nextInt(MAX_FAULT_MILLIS));
			}
		}
		catch (FleetException ex) {
			throw new IllegalStateException("cannot inject a fault into the fleet", ex);
		}
	}

	private void injectFault(int kind, int durationMillis) throws FleetException {
		switch (kind) {
			case 0, 1 -> killRouter(durationMillis);
			case 2 -> freezeRouter(durationMillis);
			case 3 -> failPlatform("{\"outage\":true}", durationMillis);
			case 4 -> failPlatform("{\"silent\":true}", durationMillis);
			case 5 -> failPlatform("{\"loseAppendAnswers\":2,\"streamPrefix\":\"claims\"}", durationMillis);
			case 6 -> failPlatform("{\"lateAppends\":2,\"lateAppendMillis\":%d,\"streamPrefix\":\"claims\"}"
				.formatted(LATE_APPEND_MILLIS), durationMillis);
			case 7 -> failServices("{\"loseAnswer\":true,\"times\":3}", durationMillis);
			case 8 -> failServices("{\"resetConnections\":true,\"times\":3}", durationMillis);
			default -> isolateDomain(durationMillis);
		}
	}

	private void killRouter(int durationMillis) throws FleetException {
		RouterHandle router = randomRouter();
		this.fleet.killRouter(router.vm());
		WaitUtils.sleep(durationMillis);
		this.fleet.restartRouter(router.vm());
	}

	private void freezeRouter(int durationMillis) throws FleetException {
		RouterHandle router = randomRouter();
		router.process().sendSignal(Signal.STOP);
		WaitUtils.sleep(2L * durationMillis);
		router.process().sendSignal(Signal.CONT);
	}

	private void failPlatform(String faults, int durationMillis) throws FleetException {
		this.fleet.platform().setFaults(faults);
		WaitUtils.sleep(durationMillis);
		this.fleet.platform().setFaults("{}");
	}

	private void failServices(String faults, int durationMillis) throws FleetException {
		this.fleet.targets().setFaultsOfKind(TargetKind.SERVICE, faults);
		WaitUtils.sleep(durationMillis);
		this.fleet.targets().setFaultsOfKind(TargetKind.SERVICE, "{}");
	}

	private void isolateDomain(int durationMillis) throws FleetException {
		String isolatedDomain = this.domains.get(this.random.nextInt(this.domains.size()));
		setDomainLinks(isolatedDomain, LinkState.SILENT);
		this.fleet.platform().setFaults(isolatedDomain, "{\"silent\":true}");
		WaitUtils.sleep(durationMillis);
		this.fleet.platform().setFaults(isolatedDomain, "{}");
		setDomainLinks(isolatedDomain, LinkState.OPEN);
	}

	private void setDomainLinks(String domain, LinkState state) {
		for (String otherDomain : this.domains) {
			if (!otherDomain.equals(domain)) {
				this.fleet.links().setDomainLink(domain, otherDomain, state);
			}
		}
	}

	private RouterHandle randomRouter() {
		List<RouterHandle> routers = this.fleet.runningRouters();
		return routers.get(this.random.nextInt(routers.size()));
	}

}
