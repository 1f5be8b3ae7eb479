package org.mustardlane.proof.deployment;

import java.util.List;

import org.mustardlane.proof.deployment.LoadPattern.Span;
import org.mustardlane.proof.deployment.Trouble.DomainCut;
import org.mustardlane.proof.deployment.Trouble.EngineCrash;
import org.mustardlane.proof.deployment.Trouble.EngineJoin;

/**
 * A load together with events to inject, for comparing placement strategies.
 *
 * @param name the name in the result table
 * @param load the calls over time
 * @param troubles the events to inject
 */
public record Scene(String name, LoadPattern load, List<Trouble> troubles) {

	private static final int LENGTH_MILLIS = 40_000;

	private static final Span CREST = new Span(10_000, 16_000, 2);

	private static final Span HOT = new Span(10_000, 16_000, 0.33);

	/**
	 * Constant load without events.
	 */
	public static final Scene CALM = new Scene("calm", load(Span.NONE, Span.NONE), List.of());

	/**
	 * The arrival rate is doubled for six seconds.
	 */
	public static final Scene AT_THE_CREST = new Scene("crest", load(CREST, Span.NONE), List.of());

	/**
	 * A third of the long calls share one prefix for six seconds.
	 */
	public static final Scene HOT_PREFIX = new Scene("hot prefix", load(Span.NONE, HOT), List.of());

	/**
	 * Two engines with empty caches join during the load peak.
	 */
	public static final Scene EMPTY_ENGINES = new Scene("empty engines join", load(CREST, Span.NONE),
			List.of(new EngineJoin(11_000), new EngineJoin(12_000)));

	/**
	 * A quarter of the engines crash during the load peak.
	 */
	public static final Scene CRASH = new Scene("crash at the crest", load(CREST, Span.NONE),
			List.of(new EngineCrash(11_000, 4000, 0), new EngineCrash(11_500, 4000, 4)));

	/**
	 * A failure domain with three of the eight engines is unreachable for six seconds.
	 */
	public static final Scene CUT = new Scene("cut domain", load(Span.NONE, Span.NONE),
			List.of(new DomainCut(10_000, 6000, 0)));

	/**
	 * All scenarios.
	 */
	public static final List<Scene> ALL = List.of(CALM, AT_THE_CREST, HOT_PREFIX, EMPTY_ENGINES, CRASH, CUT);

	/**
	 * Copies the list of events.
	 */
	public Scene {
		troubles = List.copyOf(troubles);
	}

	private static LoadPattern load(Span burst, Span hotPrefix) {
		return new LoadPattern(LoadPattern.KINDS_OF_A_SITE, LENGTH_MILLIS, burst, hotPrefix);
	}

	/**
	 * Simulates this scenario with engines like those of the users' sites.
	 * @param choice the placement strategy
	 * @param seed seed of all random decisions
	 * @return the result
	 */
	public ModelResult play(PlacementChoice choice, long seed) {
		return Deployment.play(EngineShape.OF_THE_SITES, choice, this.load, this.troubles, seed);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
