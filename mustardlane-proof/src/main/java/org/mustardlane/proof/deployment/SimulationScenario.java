package org.mustardlane.proof.deployment;

import java.util.List;

import org.mustardlane.proof.deployment.InjectedEvent.DomainPartition;
import org.mustardlane.proof.deployment.InjectedEvent.EngineCrash;
import org.mustardlane.proof.deployment.InjectedEvent.EngineJoin;
import org.mustardlane.proof.deployment.LoadPattern.LoadPeriod;

/**
 * A load together with events to inject, for comparing placement strategies.
 *
 * @param name the name in the result table
 * @param load the calls over time
 * @param injectedEvents the events to inject
 */
public record SimulationScenario(String name, LoadPattern load, List<InjectedEvent> injectedEvents) {

	private static final int DURATION_MILLIS = 40_000;

	private static final LoadPeriod PEAK_PERIOD = new LoadPeriod(10_000, 16_000, 2);

	private static final LoadPeriod HOT_PREFIX_PERIOD = new LoadPeriod(10_000, 16_000, 0.33);

	/**
	 * Constant load without events.
	 */
	public static final SimulationScenario BASELINE = new SimulationScenario("calm",
			loadPattern(LoadPeriod.NONE, LoadPeriod.NONE), List.of());

	/**
	 * The arrival rate is doubled for six seconds.
	 */
	public static final SimulationScenario LOAD_PEAK = new SimulationScenario("crest",
			loadPattern(PEAK_PERIOD, LoadPeriod.NONE), List.of());

	/**
	 * A third of the long calls share one prefix for six seconds.
	 */
	public static final SimulationScenario HOT_PREFIX = new SimulationScenario("hot prefix",
			loadPattern(LoadPeriod.NONE, HOT_PREFIX_PERIOD), List.of());

	/**
	 * Two engines with empty caches join during the load peak.
	 */
	public static final SimulationScenario ENGINES_JOIN = new SimulationScenario("empty engines join",
			loadPattern(PEAK_PERIOD, LoadPeriod.NONE), List.of(new EngineJoin(11_000), new EngineJoin(12_000)));

	/**
	 * A quarter of the engines crash during the load peak.
	 */
	public static final SimulationScenario ENGINE_CRASHES = new SimulationScenario("crash at the crest",
			loadPattern(PEAK_PERIOD, LoadPeriod.NONE),
			List.of(new EngineCrash(11_000, 4000, 0), new EngineCrash(11_500, 4000, 4)));

	/**
	 * A failure domain with three of the eight engines is unreachable for six seconds.
	 */
	public static final SimulationScenario DOMAIN_PARTITION = new SimulationScenario("cut domain",
			loadPattern(LoadPeriod.NONE, LoadPeriod.NONE), List.of(new DomainPartition(10_000, 6000, 0)));

	/**
	 * All scenarios.
	 */
	public static final List<SimulationScenario> ALL = List.of(BASELINE, LOAD_PEAK, HOT_PREFIX, ENGINES_JOIN,
			ENGINE_CRASHES, DOMAIN_PARTITION);

	/**
	 * Copies the list of events.
	 */
	public SimulationScenario {
		injectedEvents = List.copyOf(injectedEvents);
	}

	private static LoadPattern loadPattern(LoadPeriod burst, LoadPeriod hotPrefix) {
		return new LoadPattern(LoadPattern.SITE_CALL_TYPES, DURATION_MILLIS, burst, hotPrefix);
	}

	/**
	 * Simulates this scenario with engines like those of the users' sites.
	 * @param strategy the placement strategy
	 * @param seed seed of all random decisions
	 * @return the result
	 */
	public SimulationResult run(PlacementStrategy strategy, long seed) {
		return Simulation.run(SimulatedEngineSettings.SITE_ENGINE, strategy, this.load, this.injectedEvents, seed);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
