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
public final class Deployment {

	private static final PoolId POOL = new PoolId("engines");

	private static final int DOMAINS = 3;

	private static final int ROUTERS = 15;

	private static final int ENGINES = 8;

	private static final int FIRST_PORT = 9000;

	/**
	 * Time until routers know an engine that has started: it writes its state to the
	 * store of the platform with each heartbeat, and routers poll the store.
	 */
	private static final int KNOWN_AFTER_MILLIS = 1200;

	private static final int GONE_AFTER_MILLIS = 3600;

	private static final int LOADS_EVERY_MILLIS = 1000;

	/**
	 * Time after the last arrival in which queued calls can still start.
	 */
	private static final int REST_MILLIS = 20_000;

	private final EventQueue events = new EventQueue();

	private final EngineShape shape;

	private final UniformRandomProvider random;

	private final List<ModelRouter> routers = new ArrayList<>();

	private final List<ModelEngine> engines = new ArrayList<>();

	private final Map<TargetId, ModelEngine> enginesById = new HashMap<>();

	private final List<TargetEntry> known = new ArrayList<>();

	private final Set<DomainId> cutDomains = new HashSet<>();

	private final ResultCounter results = new ResultCounter();

	private Deployment(EngineShape shape, PlacementChoice choice, long seed) {
		this.shape = shape;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		for (int number = 0; number < ENGINES; number++) {
			this.known.add(add().entry());
		}
		for (int number = 0; number < ROUTERS; number++) {
			this.routers
				.add(new ModelRouter(domain(number), choice.policy(this.random::nextDouble), choice.copies(), this));
		}
	}

	/**
	 * Runs a simulation.
	 * @param shape the performance and capacity of the engines
	 * @param choice the placement strategy
	 * @param load the calls over time
	 * @param troubles the events to inject
	 * @param seed seed of all random decisions; the calls depend on the seed but not on
	 * the strategy
	 * @return the result
	 */
	public static ModelResult play(EngineShape shape, PlacementChoice choice, LoadPattern load, List<Trouble> troubles,
			long seed) {
		return new Deployment(shape, choice, seed).play(load, troubles, seed);
	}

	private ModelResult play(LoadPattern load, List<Trouble> troubles, long seed) {
		for (ModelCall call : load.calls(seed, ROUTERS)) {
			this.events.after(call.atMillis(), () -> {
				this.results.arrived(call);
				this.routers.get(call.router()).place(call);
			});
		}
		troubles.forEach((trouble) -> trouble.plan(this));
		this.events.after(LOADS_EVERY_MILLIS, this::exchangeLoads);
		this.events.run(load.lengthMillis() + REST_MILLIS);
		return this.results.result(this.engines.stream().mapToLong(ModelEngine::readPrefixTokens).sum());
	}

	private static DomainId domain(int number) {
		return new DomainId("domain-" + number % DOMAINS);
	}

	private ModelEngine add() {
		int number = this.engines.size();
		TargetId id = new TargetId("engine-" + number);
		ModelEngine engine = new ModelEngine(new TargetEntry(id, POOL, "10.0.0.1", FIRST_PORT + number, domain(number),
				this.shape.slots(), TargetState.READY, 0), this.shape, this.events);
		this.engines.add(engine);
		this.enginesById.put(id, engine);
		return engine;
	}

	private void exchangeLoads() {
		for (ModelRouter router : this.routers) {
			ModelRouter peer = this.routers.get(this.random.nextInt(this.routers.size()));
			if (reaches(router.domain(), peer.domain())) {
				router.learnLoads(peer);
				peer.learnLoads(router);
			}
		}
		this.events.after(LOADS_EVERY_MILLIS, this::exchangeLoads);
	}

	EventQueue events() {
		return this.events;
	}

	List<TargetEntry> knownEngines() {
		return List.copyOf(this.known);
	}

	ModelEngine engine(TargetId id) {
		return this.enginesById.get(id);
	}

	boolean reaches(DomainId from, DomainId to) {
		return from.equals(to) || !(this.cutDomains.contains(from) || this.cutDomains.contains(to));
	}

	void crash(int number) {
		ModelEngine engine = this.engines.get(number);
		engine.crash();
		this.events.after(GONE_AFTER_MILLIS, () -> {
			if (!engine.isUp()) {
				this.known.remove(engine.entry());
			}
		});
	}

	void restart(int number) {
		ModelEngine engine = this.engines.get(number);
		engine.restart();
		makeKnown(engine);
	}

	void join() {
		makeKnown(add());
	}

	private void makeKnown(ModelEngine engine) {
		this.events.after(KNOWN_AFTER_MILLIS, () -> {
			if (!this.known.contains(engine.entry())) {
				this.known.add(engine.entry());
			}
		});
	}

	void cut(int number, boolean isCut) {
		if (isCut) {
			this.cutDomains.add(domain(number));
		}
		else {
			this.cutDomains.remove(domain(number));
		}
	}

	void noteArrival(ModelEngine engine) {
		double mean = this.engines.stream().filter(ModelEngine::isUp).mapToInt(ModelEngine::load).average().orElse(0);
		this.results.sent(engine.load(), mean);
	}

	void begun(ModelCall call) {
		this.results.begun(call, this.events.nowMillis());
	}

	void refused() {
		this.results.refused();
	}

	void brokenOff() {
		this.results.broken();
	}

}
