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
 * @param callTypes the types of calls
 * @param durationMillis duration of the arrivals in milliseconds
 * @param burst the period with a higher arrival rate; its intensity is the factor
 * @param hotPrefix the period in which calls of the first type share one prefix; its
 * intensity is the share of these calls
 */
public record LoadPattern(List<CallType> callTypes, int durationMillis, LoadPeriod burst, LoadPeriod hotPrefix) {

	/**
	 * The generation load of a typical site: long summaries, chats and short tagging
	 * calls.
	 */
	public static final List<CallType> SITE_CALL_TYPES = List.of(
			new CallType("summary", 9.79, 10_512, 78, 1300, 380, 1000),
			new CallType("chat", 19.2, 699, 100, 130, 290, 400), new CallType("tag", 16.9, 2041, 47, 360, 25, 500));

	/**
	 * The generation load of a large fleet.
	 */
	public static final List<CallType> LARGE_FLEET_CALL_TYPES = List.of(
			new CallType("summary", 63.2, 10_512, 135, 1300, 380, 1000),
			new CallType("chat", 56.7, 699, 181, 130, 290, 400), new CallType("tag", 122, 2041, 389, 360, 25, 500));

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Copies the list of types.
	 */
	public LoadPattern {
		callTypes = List.copyOf(callTypes);
	}

	/**
	 * Generates the calls.
	 * @param seed seed of the arrival times, prefixes and routers
	 * @param routers number of routers
	 * @return the calls, grouped by type and ordered by arrival time within each type
	 */
	List<SimulatedCall> generateCalls(long seed, int routers) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		List<SimulatedCall> calls = new ArrayList<>();
		for (CallType callType : this.callTypes) {
			double maxPerSecond = callType.arrivalsPerSecond() * Math.max(1, this.burst.intensity());
			double atMillis = nextGapMillis(random, maxPerSecond);
			while (atMillis < this.durationMillis) {
				if (random.nextDouble() * maxPerSecond < callType.arrivalsPerSecond() * rateFactor(atMillis)) {
					calls.add(new SimulatedCall(atMillis, callType, prefix(random, callType, atMillis),
							random.nextInt(routers)));
				}
				atMillis += nextGapMillis(random, maxPerSecond);
			}
		}
		return calls;
	}

	private double rateFactor(double atMillis) {
		return this.burst.contains(atMillis) ? this.burst.intensity() : 1;
	}

	private SharedPrefix prefix(UniformRandomProvider random, CallType callType, double atMillis) {
		boolean usesHotPrefix = callType.equals(this.callTypes.get(0)) && this.hotPrefix.contains(atMillis)
				&& random.nextDouble() < this.hotPrefix.intensity();
		int number = usesHotPrefix ? 0 : random.nextInt(callType.prefixCount());
		// Without scrambling, prefixes with consecutive numbers would be neighbours in
		// the ranking of home engines.
		long hash = mixBits(callType.name().hashCode() * 1009L + number);
		return new SharedPrefix(hash, callType.sharedTokens(), List.of());
	}

	private static long mixBits(long value) {
		return RandomSource.SPLIT_MIX_64.create(value).nextLong();
	}

	private static double nextGapMillis(UniformRandomProvider random, double eventsPerSecond) {
		return -Math.log(1 - random.nextDouble()) / eventsPerSecond * MILLIS_PER_SECOND;
	}

	/**
	 * A period in which the load differs from the base load.
	 *
	 * @param startMillis start time in milliseconds, inclusive
	 * @param endMillis end time in milliseconds, exclusive
	 * @param intensity the strength of the deviation, whose meaning depends on the use
	 */
	public record LoadPeriod(int startMillis, int endMillis, double intensity) {

		/**
		 * The empty period.
		 */
		public static final LoadPeriod NONE = new LoadPeriod(0, 0, 0);

		boolean contains(double atMillis) {
			return atMillis >= this.startMillis && atMillis < this.endMillis;
		}

	}

}
