package org.mustardlane.proof.deployment;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.core.placement.SharedPrefix;

/**
 * The calls over time: Poisson arrivals with an optional burst and an optional period in
 * which many calls share one prefix.
 *
 * @param kinds the types of calls
 * @param lengthMillis duration of the arrivals in milliseconds
 * @param burst the period with a higher arrival rate; its intensity is the factor
 * @param hotPrefix the period in which calls of the first type share one prefix; its
 * intensity is the share of these calls
 */
public record LoadPattern(List<CallKind> kinds, int lengthMillis, Span burst, Span hotPrefix) {

	/**
	 * The generation load of a typical site: long summaries, chats and short tagging
	 * calls.
	 */
	public static final List<CallKind> KINDS_OF_A_SITE = List.of(
			new CallKind("summary", 9.79, 10_512, 78, 1300, 380, 1000),
			new CallKind("chat", 19.2, 699, 100, 130, 290, 400), new CallKind("tag", 16.9, 2041, 47, 360, 25, 500));

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Copies the list of types.
	 */
	public LoadPattern {
		kinds = List.copyOf(kinds);
	}

	/**
	 * Generates the calls.
	 * @param seed seed of the arrival times, prefixes and routers
	 * @param routers number of routers
	 * @return the calls, grouped by type and ordered by arrival time within each type
	 */
	List<ModelCall> calls(long seed, int routers) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		List<ModelCall> calls = new ArrayList<>();
		for (CallKind kind : this.kinds) {
			double highest = kind.perSecond() * Math.max(1, this.burst.strength());
			double atMillis = gapMillis(random, highest);
			while (atMillis < this.lengthMillis) {
				if (random.nextDouble() * highest < kind.perSecond() * factorAt(atMillis)) {
					calls.add(new ModelCall(atMillis, kind, prefix(random, kind, atMillis), random.nextInt(routers)));
				}
				atMillis += gapMillis(random, highest);
			}
		}
		return calls;
	}

	private double factorAt(double atMillis) {
		return this.burst.covers(atMillis) ? this.burst.strength() : 1;
	}

	private SharedPrefix prefix(UniformRandomProvider random, CallKind kind, double atMillis) {
		boolean hot = kind.equals(this.kinds.get(0)) && this.hotPrefix.covers(atMillis)
				&& random.nextDouble() < this.hotPrefix.strength();
		int number = hot ? 0 : random.nextInt(kind.prefixes());
		// Consecutive prefix numbers must not get consecutive hashes, or their home
		// engines would be correlated.
		long hash = mix(kind.name().hashCode() * 1009L + number);
		return new SharedPrefix(hash, kind.sharedTokens());
	}

	private static long mix(long value) {
		return RandomSource.SPLIT_MIX_64.create(value).nextLong();
	}

	private static double gapMillis(UniformRandomProvider random, double perSecond) {
		return -Math.log(1 - random.nextDouble()) / perSecond * MILLIS_PER_SECOND;
	}

	/**
	 * A period in which the load differs from the base load.
	 *
	 * @param fromMillis start time in milliseconds, inclusive
	 * @param untilMillis end time in milliseconds, exclusive
	 * @param strength the strength of the deviation, whose meaning depends on the use
	 */
	public record Span(int fromMillis, int untilMillis, double strength) {

		/**
		 * The empty period.
		 */
		public static final Span NONE = new Span(0, 0, 0);

		boolean covers(double atMillis) {
			return atMillis >= this.fromMillis && atMillis < this.untilMillis;
		}

	}

}
