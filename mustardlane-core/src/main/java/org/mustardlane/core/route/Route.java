package org.mustardlane.core.route;

import java.util.List;

import org.mustardlane.core.model.common.PoolId;

/**
 * Defines how requests to one host under one path prefix are served.
 *
 * @param name name of the route
 * @param host host name in lower case, without a port
 * @param pathPrefix prefix of the paths, which begins and ends with a slash
 * @param semantics whether a request may be executed more than once
 * @param timeoutMillis maximum duration of a request
 * @param objectiveMillis objective for the time to the response, or to the first event of
 * a stream
 * @param gapObjectiveMillis objective for the longest gap between the events of a stream,
 * 0 if there is none
 * @param priority priority of the requests, 0 is the highest
 * @param pools the pools that serve the route, at least one
 * @param maxAttempts maximum number of targets that may execute the same request
 * @param anonymousAllowed whether requests need no organisation key
 */
public record Route(String name, String host, String pathPrefix, RequestSemantics semantics, long timeoutMillis,
		long objectiveMillis, long gapObjectiveMillis, int priority, List<WeightedPool> pools, int maxAttempts,
		boolean anonymousAllowed) {

	/**
	 * Creates a route with a copy of the pools.
	 * @throws IllegalArgumentException if there is no pool
	 */
	public Route {
		pools = List.copyOf(pools);
		if (pools.isEmpty()) {
			throw new IllegalArgumentException("The route " + name + " has no pool");
		}
	}

	/**
	 * Picks a pool at random according to the weights.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the chosen pool
	 */
	public PoolId pickPool(double draw) {
		double totalWeight = this.pools.stream().mapToDouble(WeightedPool::weight).sum();
		double remainingWeight = draw * totalWeight;
		for (WeightedPool candidate : this.pools) {
			remainingWeight -= candidate.weight();
			if (remainingWeight < 0) {
				return candidate.pool();
			}
		}
		return this.pools.get(0).pool();
	}

}
