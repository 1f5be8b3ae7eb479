package org.mustardlane.proof.deployment;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.core.placement.SharedPrefix;

/**
 * Calls over time: independent arrivals, with a time in which more come and a time in
 * which many share one prefix.
 *
 * @param kinds what callers ask for
 * @param lengthMillis how long calls arrive
 * @param burst when more arrive
 * @param hotPrefix when many calls of the first kind share one prefix
 */
public record LoadPattern(List<CallKind> kinds, int lengthMillis, Span burst, Span hotPrefix) {

	/**
	 * The generations of a site: long summaries, chats and short tags.
	 */
	public static final List<CallKind> KINDS_OF_A_SITE = List.of(
			new CallKind("summary", 9.79, 10_512, 78, 1300, 380, 1000),
			new CallKind("chat", 19.2, 699, 100, 130, 290, 400), new CallKind("tag", 16.9, 2041, 47, 360, 25, 500));

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Copies the kinds.
	 */
	public LoadPattern {
		kinds = List.copyOf(kinds);
	}

	/**
	 * Makes the calls.
	 * @param seed decides on times, prefixes and routers
	 * @param routers number of routers
	 * @return the calls, kind by kind in the order of their arrival
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
		// Neighbouring numbers must not be neighbours in the order of homes.
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
	 * A part of the time in which the load differs.
	 *
	 * @param fromMillis when it begins
	 * @param untilMillis when it ends
	 * @param strength by how much it differs
	 */
	public record Span(int fromMillis, int untilMillis, double strength) {

		/**
		 * No time at all.
		 */
		public static final Span NONE = new Span(0, 0, 0);

		boolean covers(double atMillis) {
			return atMillis >= this.fromMillis && atMillis < this.untilMillis;
		}

	}

}
