package org.mustardlane.core.admission;

import java.util.EnumMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * Tells refused callers when to come back, spread so that they come at the pace at which
 * they can be served.
 *
 * <p>
 * Each refusal books the service time of one request behind the backlog and behind the
 * refusals before it.
 */
final class RetrySchedule {

	private static final long MIN_RETRY_MILLIS = 100;

	private static final long MAX_RETRY_MILLIS = 60_000;

	/**
	 * How many requests may be served for each refused one that comes back; the others
	 * are new.
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
	 * Books a return.
	 * @param serviceClass the class
	 * @param expectedWaitMillis how long the work that waits now will take
	 * @param serviceIntervalMillis time between two requests that can be served
	 * @param nowMillis the time
	 * @return milliseconds from now
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
