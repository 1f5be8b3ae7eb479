package org.mustardlane.proof.deployment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Discrete-event simulation of routers and engines in failure domains under one load.
 *
 * <p>
 * Not thread-safe. An instance runs once.
 */
public final class Simulation {

	private static final PoolId POOL = new PoolId("engines");

	private static final int FIRST_PORT = 9000;

	/**
	 * Time until routers know an engine that has started: it writes its state to the
	 * store of the platform with each heartbeat, and routers poll the store.
	 */
	private static final int DISCOVERY_DELAY_MILLIS = 1200;

	private static final int REMOVAL_DELAY_MILLIS = 3600;

	private static final int LOAD_EXCHANGE_INTERVAL_MILLIS = 1000;

	/**
	 * Time after the last arrival in which queued calls can still start.
	 */
	private static final int COMPLETION_MILLIS = 20_000;

	private final EventQueue events = new EventQueue();

	private final FleetSize fleet;

	private final UniformRandomProvider random;

	private final List<SimulatedRouter> routers = new ArrayList<>();

	private final List<SimulatedEngine> engines = new ArrayList<>();

	private final Map<TargetId, SimulatedEngine> enginesById = new HashMap<>();

	private final List<TargetEntry> knownEngines = new ArrayList<>();

	private final Set<DomainId> partitionedDomains = new HashSet<>();

	private final ResultCollector results = new ResultCollector();

	private Simulation(FleetSize fleet, PlacementStrategy strategy, long seed) {
		this.fleet = fleet;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		for (int number = 0; number < fleet.engines(); number++) {
			this.knownEngines.add(addEngine().entry());
		}
		for (int number = 0; number < fleet.routers(); number++) {
			this.routers.add(new SimulatedRouter(domain(number), strategy.createPolicy(this.random::nextDouble),
					strategy.copiesPrefixes(), this));
		}
	}

	/**
	 * Runs a simulation.
	 * @param fleet the size of the deployment
	 * @param strategy the placement strategy
	 * @param load the calls over time
	 * @param injectedEvents the events to inject
	 * @param seed seed of all random decisions; the calls depend on the seed but not on
	 * the strategy
	 * @return the result
	 */
	public static SimulationResult run(FleetSize fleet, PlacementStrategy strategy, LoadPattern load,
			List<InjectedEvent> injectedEvents, long seed) {
		return new Simulation(fleet, strategy, seed).run(load, injectedEvents, seed);
	}

	private SimulationResult run(LoadPattern load, List<InjectedEvent> injectedEvents, long seed) {
		for (SimulatedCall call : load.generateCalls(seed, this.fleet.routers())) {
			this.events.schedule(call.arrivalMillis(), () -> {
				this.results.recordArrival(call);
				this.routers.get(call.routerIndex()).place(call);
			});
		}
		injectedEvents.forEach((injectedEvent) -> injectedEvent.schedule(this));
		this.events.schedule(LOAD_EXCHANGE_INTERVAL_MILLIS, this::exchangeLoads);
		this.events.runUntil(load.durationMillis() + COMPLETION_MILLIS);
		return this.results.toResult(this.engines.stream().mapToLong(SimulatedEngine::processedPrefixTokens).sum());
	}

	private DomainId domain(int number) {
		return new DomainId("domain-" + number % this.fleet.domains());
	}

	private SimulatedEngine addEngine() {
		int number = this.engines.size();
		TargetId id = new TargetId("engine-" + number);
		SimulatedEngine engine = new SimulatedEngine(
				new TargetEntry(id, POOL, "10.0.0.1", FIRST_PORT + number, domain(number),
						this.fleet.engineSettings().slots(), "v1", TargetState.READY, 0, 0),
				this.fleet.engineSettings(), this.events);
		this.engines.add(engine);
		this.enginesById.put(id, engine);
		return engine;
	}

	private void exchangeLoads() {
		for (SimulatedRouter router : this.routers) {
			SimulatedRouter peer = this.routers.get(this.random.nextInt(this.routers.size()));
			if (canReach(router.domain(), peer.domain())) {
				router.mergeLoads(peer);
				peer.mergeLoads(router);
			}
		}
		this.events.schedule(LOAD_EXCHANGE_INTERVAL_MILLIS, this::exchangeLoads);
	}

	EventQueue events() {
		return this.events;
	}

	List<TargetEntry> knownEngines() {
		return List.copyOf(this.knownEngines);
	}

	SimulatedEngine engine(TargetId id) {
		return this.enginesById.get(id);
	}

	boolean canReach(DomainId from, DomainId to) {
		return from.equals(to) || !(this.partitionedDomains.contains(from) || this.partitionedDomains.contains(to));
	}

	void crashEngine(int engineIndex) {
		SimulatedEngine engine = this.engines.get(engineIndex);
		engine.crash();
		this.events.schedule(REMOVAL_DELAY_MILLIS, () -> {
			if (!engine.isUp()) {
				this.knownEngines.remove(engine.entry());
			}
		});
	}

	void restartEngine(int engineIndex) {
		SimulatedEngine engine = this.engines.get(engineIndex);
		engine.restart();
		scheduleDiscovery(engine);
	}

	void joinNewEngine() {
		scheduleDiscovery(addEngine());
	}

	private void scheduleDiscovery(SimulatedEngine engine) {
		this.events.schedule(DISCOVERY_DELAY_MILLIS, () -> {
			if (!this.knownEngines.contains(engine.entry())) {
				this.knownEngines.add(engine.entry());
			}
		});
	}

	void setPartitioned(int domainIndex, boolean isPartitioned) {
		if (isPartitioned) {
			this.partitionedDomains.add(domain(domainIndex));
		}
		else {
			this.partitionedDomains.remove(domain(domainIndex));
		}
	}

	void recordSend(SimulatedEngine engine) {
		double mean = this.engines.stream()
			.filter(SimulatedEngine::isUp)
			.mapToInt(SimulatedEngine::load)
			.average()
			.orElse(0);
		this.results.recordSend(engine.load(), mean);
	}

	void recordFirstToken(SimulatedCall call) {
		this.results.recordFirstToken(call, this.events.nowMillis());
	}

	void recordRefusal() {
		this.results.recordRefusal();
	}

	void recordFailure() {
		this.results.recordFailure();
	}

}
