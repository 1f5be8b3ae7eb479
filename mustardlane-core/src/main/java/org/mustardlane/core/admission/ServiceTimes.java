package org.mustardlane.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.mustardlane.core.model.common.EntryName;

/**
 * How long the requests of each entry use a slot: an average that forgets with time, so
 * that it follows a swing of the demand within a second.
 */
final class ServiceTimes {

	private static final double MEMORY_MILLIS = 500;

	private static final double LEAST_WEIGHT = 0.02;

	private static final double MOST_WEIGHT = 0.5;

	private final Map<EntryName, Learned> entries = new HashMap<>();

	void add(EntryName entry, long millis, long nowMillis) {
		Learned known = this.entries.get(entry);
		this.entries.put(entry, (known != null) ? known.and(millis, nowMillis) : new Learned(millis, 0, nowMillis));
	}

	/**
	 * Returns the mean time.
	 * @param entry the entry
	 * @param publishedMillis what the catalogue says, until something is learned
	 * @return milliseconds, at least one
	 */
	long meanMillis(EntryName entry, long publishedMillis) {
		Learned known = this.entries.get(entry);
		return (known != null) ? Math.max(1, (long) known.meanMillis()) : Math.max(1, publishedMillis);
	}

	/**
	 * Returns a time that few requests pass: the mean and twice the mean deviation.
	 * @param entry the entry
	 * @param publishedMillis what the catalogue says, until something is learned
	 * @return milliseconds, at least one
	 */
	long highMillis(EntryName entry, long publishedMillis) {
		Learned known = this.entries.get(entry);
		return (known != null) ? Math.max(1, (long) (known.meanMillis() + 2 * known.deviationMillis()))
				: Math.max(1, publishedMillis);
	}

	private record Learned(double meanMillis, double deviationMillis, long atMillis) {

		Learned and(long millis, long nowMillis) {
			double weight = 1 - Math.exp((this.atMillis - nowMillis) / MEMORY_MILLIS);
			double bounded = Math.max(LEAST_WEIGHT, Math.min(MOST_WEIGHT, weight));
			double error = millis - this.meanMillis;
			double deviation = this.deviationMillis + bounded * (Math.abs(error) - this.deviationMillis);
			return new Learned(this.meanMillis + bounded * error, deviation, nowMillis);
		}

	}

}
