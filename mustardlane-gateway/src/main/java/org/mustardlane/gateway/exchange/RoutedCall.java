package org.mustardlane.gateway.exchange;

import java.util.Optional;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.placement.SharedPrefix;
import org.mustardlane.core.route.Organisation;
import org.mustardlane.core.route.Route;
import org.mustardlane.gateway.front.Call;

/**
 * A call together with its route.
 *
 * @param call the call
 * @param route route of the call
 * @param pool pool that was chosen for the call
 * @param organisation organisation whose key the call carries, empty if the call carries
 * no known key
 * @param copiesPrefixes whether the engines of the pool copy prompt prefixes from each
 * other
 * @param routesVersion version of the routes that was used
 */
record RoutedCall(Call call, Route route, PoolId pool, Optional<Organisation> organisation, boolean copiesPrefixes,
		long routesVersion) {

	/**
	 * Returns the prefix of the prompt that is shared with other calls.
	 * @return the prefix, or empty if there is none
	 */
	Optional<SharedPrefix> prefix() {
		return this.call.head().prefix();
	}

	/**
	 * Returns the deadline for the final response.
	 * @return the earlier of the caller's timeout and the timeout of the route, as a time
	 * of the monotonic clock
	 */
	long deadlineMillis() {
		long timeoutMillis = Math.min(this.call.head().timeoutMillis().orElse(Long.MAX_VALUE),
				this.route.timeoutMillis());
		return this.call.arrivedAtMillis() + timeoutMillis;
	}

}
