package org.mustardlane.core.route;

import org.mustardlane.core.model.common.PoolId;

/**
 * A pool with its part of a route's requests.
 *
 * @param pool the pool
 * @param weight part of the requests, relative to the other pools of the route
 */
public record WeightedPool(PoolId pool, double weight) {

	/**
	 * Checks the weight.
	 */
	public WeightedPool {
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("A weight must be 0 or more: " + weight);
		}
	}

}
