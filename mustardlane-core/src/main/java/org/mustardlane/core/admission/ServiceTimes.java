package org.mustardlane.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.mustardlane.core.model.common.EntryName;

/**
 * Estimates how long the requests of each entry occupy a slot. The estimates are
 * exponentially weighted averages that follow a change of demand within a second.
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
	 * Returns the mean service time.
	 * @param entry the catalogue entry
	 * @param defaultMillis the service time in the catalogue, used before the first
	 * sample
	 * @return the mean in milliseconds, at least 1
	 */
	long meanMillis(EntryName entry, long defaultMillis) {
		Estimate estimate = this.estimates.get(entry);
		return (estimate != null) ? Math.max(1, (long) estimate.meanMillis()) : Math.max(1, defaultMillis);
	}

	/**
	 * Returns an upper estimate of the service time: the mean plus twice the mean
	 * deviation.
	 * @param entry the catalogue entry
	 * @param defaultMillis the service time in the catalogue, used before the first
	 * sample
	 * @return the estimate in milliseconds, at least 1
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
