package org.mustardlane.core.admission;

import java.util.EnumMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * Computes the retry delays of refused requests, spread so that retries arrive no faster
 * than they can be served.
 *
 * <p>
 * Each refusal books a time after the backlog and after the earlier refusals of its
 * service class.
 */
final class RetrySchedule {

	private static final long MIN_RETRY_MILLIS = 100;

	private static final long MAX_RETRY_MILLIS = 60_000;

	/**
	 * The retries of a service class are spaced by the time in which this many requests
	 * are served, so retries take up at most half of the capacity and leave the rest to
	 * new requests.
	 */
	private static final int SERVED_PER_RETRY = 2;

	private static final double MIN_JITTER_FACTOR = 0.75;

	private static final double JITTER_RANGE = 0.5;

	private final UniformRandomProvider random;

	private final Map<ServiceClass, Double> bookedUntilMillis = new EnumMap<>(ServiceClass.class);

	RetrySchedule(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Books a retry time for a refused request.
	 * @param serviceClass the service class of the request
	 * @param expectedWaitMillis time that the current backlog will take
	 * @param serviceIntervalMillis time between the starts of two requests at full load
	 * @param nowMillis the current time in milliseconds
	 * @return the delay until the retry in milliseconds
	 */
	long bookRetry(ServiceClass serviceClass, double expectedWaitMillis, double serviceIntervalMillis, long nowMillis) {
		double backlogEndMillis = nowMillis + expectedWaitMillis;
		double bookedMillis = Math.max(backlogEndMillis, this.bookedUntilMillis.getOrDefault(serviceClass, 0.0))
				+ SERVED_PER_RETRY * serviceIntervalMillis;
		double boundedMillis = Math.min(bookedMillis, nowMillis + MAX_RETRY_MILLIS);
		this.bookedUntilMillis.put(serviceClass, boundedMillis);
		double jitterFactor = MIN_JITTER_FACTOR + JITTER_RANGE * this.random.nextDouble();
		return Math.max(MIN_RETRY_MILLIS, (long) ((boundedMillis - nowMillis) * jitterFactor));
	}

}
