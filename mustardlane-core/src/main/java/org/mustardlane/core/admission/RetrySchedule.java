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

	private static final long SHORTEST_MILLIS = 100;

	private static final long LONGEST_MILLIS = 60_000;

	/**
	 * How many requests may be served for each refused one that comes back; the others
	 * are new.
	 */
	private static final int SERVED_PER_RETURN = 2;

	private static final double LEAST_SPREAD = 0.75;

	private static final double SPREAD = 0.5;

	private final UniformRandomProvider random;

	private final Map<ServiceClass, Double> bookedUntilMillis = new EnumMap<>(ServiceClass.class);

	RetrySchedule(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Books a return.
	 * @param serviceClass the class
	 * @param backlogMillis how long the work that waits now will take
	 * @param paceMillis time between two requests that can be served
	 * @param nowMillis the time
	 * @return milliseconds from now
	 */
	long retryAfterMillis(ServiceClass serviceClass, double backlogMillis, double paceMillis, long nowMillis) {
		double free = nowMillis + backlogMillis;
		double booked = Math.max(free, this.bookedUntilMillis.getOrDefault(serviceClass, 0.0))
				+ SERVED_PER_RETURN * paceMillis;
		double bounded = Math.min(booked, nowMillis + LONGEST_MILLIS);
		this.bookedUntilMillis.put(serviceClass, bounded);
		double spread = LEAST_SPREAD + SPREAD * this.random.nextDouble();
		return Math.max(SHORTEST_MILLIS, (long) ((bounded - nowMillis) * spread));
	}

}
