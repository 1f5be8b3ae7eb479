package org.mustardlane.core.route;

import java.util.List;

import org.mustardlane.core.model.common.PoolId;

/**
 * Requests of one host under one path prefix.
 *
 * @param name name of the route
 * @param host host name in lower case, without a port
 * @param pathPrefix beginning of the paths, with a slash at both ends
 * @param semantics what may be done after a first attempt
 * @param timeoutMillis longest time that a request may take
 * @param objectiveMillis time within which an answer, or the first event of a stream, is
 * on time
 * @param gapObjectiveMillis longest pause between events for which a stream is on time, 0
 * where there is none
 * @param priority rank of the requests, 0 first
 * @param pools the pools that serve it, at least one
 * @param maxAttempts most targets that one request may be sent to
 * @param open whether requests need no key
 */
public record Route(String name, String host, String pathPrefix, RequestSemantics semantics, long timeoutMillis,
		long objectiveMillis, long gapObjectiveMillis, int priority, List<WeightedPool> pools, int maxAttempts,
		boolean open) {

	/**
	 * Checks the pools and copies them.
	 */
	public Route {
		pools = List.copyOf(pools);
		if (pools.isEmpty()) {
			throw new IllegalArgumentException("The route " + name + " has no pool");
		}
	}

	/**
	 * Picks a pool by weight.
	 * @param draw a random number from 0 to below 1
	 * @return the pool
	 */
	public PoolId pickPool(double draw) {
		double total = this.pools.stream().mapToDouble(WeightedPool::weight).sum();
		double rest = draw * total;
		for (WeightedPool candidate : this.pools) {
			rest -= candidate.weight();
			if (rest < 0) {
				return candidate.pool();
			}
		}
		return this.pools.get(0).pool();
	}

}
