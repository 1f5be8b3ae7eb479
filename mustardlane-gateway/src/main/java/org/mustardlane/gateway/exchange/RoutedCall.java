package org.mustardlane.gateway.exchange;

import java.util.Optional;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.placement.SharedPrefix;
import org.mustardlane.core.route.Organisation;
import org.mustardlane.core.route.Route;
import org.mustardlane.gateway.front.Call;

/**
 * A call with what the routes say of it.
 *
 * @param call the call
 * @param route its route
 * @param pool the pool that was picked for it
 * @param organisation whose call it is, empty where no known key was given
 * @param copiesPrefixes whether the engines of the pool copy prefixes from each other
 * @param routesVersion version of the routes that were in force
 */
record RoutedCall(Call call, Route route, PoolId pool, Optional<Organisation> organisation, boolean copiesPrefixes,
		long routesVersion) {

	/**
	 * Returns the part of the prompt that other calls share.
	 * @return the prefix, or empty where there is none
	 */
	Optional<SharedPrefix> prefix() {
		return this.call.head().prefix();
	}

	/**
	 * Returns when the call gets its final answer at the latest.
	 * @return the time at which the caller stops waiting or the route gives up
	 */
	long deadlineMillis() {
		long timeoutMillis = Math.min(this.call.head().patienceMillis().orElse(Long.MAX_VALUE),
				this.route.timeoutMillis());
		return this.call.arrivedAtMillis() + timeoutMillis;
	}

}
