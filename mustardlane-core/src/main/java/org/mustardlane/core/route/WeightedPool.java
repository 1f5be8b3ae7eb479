package org.mustardlane.core.route;

import org.mustardlane.core.model.common.PoolId;

/**
 * A pool of a route with its share of the requests.
 *
 * @param pool the pool
 * @param weight share of the requests, relative to the weights of the other pools of the
 * route
 */
public record WeightedPool(PoolId pool, double weight) {

	/**
	 * Creates a pool with a weight.
	 * @throws IllegalArgumentException if the weight is negative or not a number
	 */
	public WeightedPool {
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("A weight must be 0 or more: " + weight);
		}
	}

}
