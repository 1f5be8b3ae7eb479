package org.mustardlane.gateway.exchange;

import java.util.Optional;

import org.mustardlane.core.model.common.PoolId;
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
 * @param routesVersion version of the routes that were in force
 */
record RoutedCall(Call call, Route route, PoolId pool, Optional<Organisation> organisation, long routesVersion) {

	/**
	 * Returns when the call gets its final answer at the latest.
	 * @return the time at which the caller stops waiting or the route gives up
	 */
	long deadlineMillis() {
		long patience = Math.min(this.call.head().patienceMillis().orElse(Long.MAX_VALUE), this.route.timeoutMillis());
		return this.call.arrivedAtMillis() + patience;
	}

}
