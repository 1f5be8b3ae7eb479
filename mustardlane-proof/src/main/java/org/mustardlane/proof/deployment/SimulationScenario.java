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
 * @param fleet the size of the deployment
 * @param load the calls over time
 * @param injectedEvents the events to inject
 */
public record SimulationScenario(String name, FleetSize fleet, LoadPattern load, List<InjectedEvent> injectedEvents) {

	private static final int DURATION_MILLIS = 40_000;

	private static final LoadPeriod PEAK_PERIOD = new LoadPeriod(10_000, 16_000, 2);

	private static final LoadPeriod LARGE_PEAK_PERIOD = new LoadPeriod(10_000, 16_000, 2.5);

	private static final LoadPeriod HOT_PREFIX_PERIOD = new LoadPeriod(10_000, 16_000, 0.33);

	/**
	 * Constant load without events.
	 */
	public static final SimulationScenario BASELINE = new SimulationScenario("calm", FleetSize.SITE,
			loadPattern(LoadPeriod.NONE, LoadPeriod.NONE), List.of());

	/**
	 * The arrival rate is doubled for six seconds.
	 */
	public static final SimulationScenario LOAD_PEAK = new SimulationScenario("crest", FleetSize.SITE,
			loadPattern(PEAK_PERIOD, LoadPeriod.NONE), List.of());

	/**
	 * A third of the long calls share one prefix for six seconds.
	 */
	public static final SimulationScenario HOT_PREFIX = new SimulationScenario("hot prefix", FleetSize.SITE,
			loadPattern(LoadPeriod.NONE, HOT_PREFIX_PERIOD), List.of());

	/**
	 * Two engines with empty caches join during the load peak.
	 */
	public static final SimulationScenario ENGINES_JOIN = new SimulationScenario("empty engines join", FleetSize.SITE,
			loadPattern(PEAK_PERIOD, LoadPeriod.NONE), List.of(new EngineJoin(11_000), new EngineJoin(12_000)));

	/**
	 * A quarter of the engines crash during the load peak.
	 */
	public static final SimulationScenario ENGINE_CRASHES = new SimulationScenario("crash at the crest", FleetSize.SITE,
			loadPattern(PEAK_PERIOD, LoadPeriod.NONE),
			List.of(new EngineCrash(11_000, 4000, 0), new EngineCrash(11_500, 4000, 4)));

	/**
	 * A failure domain with three of the eight engines is unreachable for six seconds.
	 */
	public static final SimulationScenario DOMAIN_PARTITION = new SimulationScenario("cut domain", FleetSize.SITE,
			loadPattern(LoadPeriod.NONE, LoadPeriod.NONE), List.of(new DomainPartition(10_000, 6000, 0)));

	/**
	 * Constant load on a large fleet.
	 */
	public static final SimulationScenario LARGE_BASELINE = new SimulationScenario("large calm", FleetSize.LARGE,
			new LoadPattern(LoadPattern.LARGE_FLEET_CALL_TYPES, DURATION_MILLIS, LoadPeriod.NONE, LoadPeriod.NONE),
			List.of());

	/**
	 * The arrival rate of a large fleet grows to two and a half times for six seconds,
	 * which fills its engines.
	 */
	public static final SimulationScenario LARGE_PEAK = new SimulationScenario("large crest", FleetSize.LARGE,
			new LoadPattern(LoadPattern.LARGE_FLEET_CALL_TYPES, DURATION_MILLIS, LARGE_PEAK_PERIOD, LoadPeriod.NONE),
			List.of());

	/**
	 * All scenarios.
	 */
	public static final List<SimulationScenario> ALL = List.of(BASELINE, LOAD_PEAK, HOT_PREFIX, ENGINES_JOIN,
			ENGINE_CRASHES, DOMAIN_PARTITION, LARGE_BASELINE, LARGE_PEAK);

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
	 * Simulates this scenario.
	 * @param strategy the placement strategy
	 * @param seed seed of all random decisions
	 * @return the result
	 */
	public SimulationResult run(PlacementStrategy strategy, long seed) {
		return Simulation.run(this.fleet, strategy, this.load, this.injectedEvents, seed);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
