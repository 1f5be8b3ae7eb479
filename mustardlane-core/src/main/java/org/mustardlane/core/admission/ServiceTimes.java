package org.mustardlane.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.mustardlane.core.model.common.EntryName;

/**
 * How long the requests of each entry use a slot: an average that forgets with time, so
 * that it follows a swing of the demand within a second.
 */
final class ServiceTimes {

	private static final double DECAY_MILLIS = 500;

	private static final double MIN_WEIGHT = 0.02;

	private static final double MAX_WEIGHT = 0.5;

	private final Map<EntryName, Estimate> estimates = new HashMap<>();

	void add(EntryName entry, long serviceMillis, long nowMillis) {
		Estimate estimate = this.estimates.get(entry);
		this.estimates.put(entry, (estimate != null) ? estimate.update(serviceMillis, nowMillis)
				: new Estimate(serviceMillis, 0, nowMillis));
	}

	/**
	 * Returns the mean time.
	 * @param entry the entry
	 * @param defaultMillis what the catalogue says, until something is learned
	 * @return milliseconds, at least one
	 */
	long meanMillis(EntryName entry, long defaultMillis) {
		Estimate estimate = this.estimates.get(entry);
		return (estimate != null) ? Math.max(1, (long) estimate.meanMillis()) : Math.max(1, defaultMillis);
	}

	/**
	 * Returns a time that few requests pass: the mean and twice the mean deviation.
	 * @param entry the entry
	 * @param defaultMillis what the catalogue says, until something is learned
	 * @return milliseconds, at least one
	 */
	long upperMillis(EntryName entry, long defaultMillis) {
		Estimate estimate = this.estimates.get(entry);
		return (estimate != null) ? Math.max(1, (long) (estimate.meanMillis() + 2 * estimate.deviationMillis()))
				: Math.max(1, defaultMillis);
	}

	private record Estimate(double meanMillis, double deviationMillis, long updatedAtMillis) {

		Estimate update(long serviceMillis, long nowMillis) {
			double weight = 1 - Math.exp((this.updatedAtMillis - nowMillis) / DECAY_MILLIS);
			double boundedWeight = Math.max(MIN_WEIGHT, Math.min(MAX_WEIGHT, weight));
			double errorMillis = serviceMillis - this.meanMillis;
			double newDeviationMillis = this.deviationMillis
					+ boundedWeight * (Math.abs(errorMillis) - this.deviationMillis);
			return new Estimate(this.meanMillis + boundedWeight * errorMillis, newDeviationMillis, nowMillis);
		}

	}

}
