package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.OptionalInt;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.placement.SharedPrefix;
import org.mustardlane.core.route.EngineSpec;
import org.mustardlane.core.route.Organisation;
import org.mustardlane.core.route.Route;
import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.wire.Dispatch;
import org.mustardlane.gateway.wire.Resumption;

/**
 * A call together with its route.
 *
 * @param call the call
 * @param route route of the call
 * @param pool pool that was chosen for the call
 * @param organisation organisation whose key the call carries, empty if the call carries
 * no known key
 * @param engine capabilities of the engines of the pool, empty for a pool of plain
 * services
 * @param softwareVersion version that the targets of the call must have because they
 * began its stream, empty if any may take the call
 * @param features features that may crash the targets that run the call
 * @param routesVersion version of the routes that was used
 * @param relayed whether another router has passed the call on
 */
record RoutedCall(Call call, Route route, PoolId pool, Optional<Organisation> organisation, Optional<EngineSpec> engine,
		Optional<String> softwareVersion, CallFeatures features, long routesVersion, boolean relayed) {

	/**
	 * Returns how many targets may execute the call.
	 * @return the number, 1 for a call that another router has passed on: that one counts
	 * the executions
	 */
	int maxRuns() {
		return this.relayed ? 1 : this.route.maxAttempts();
	}

	String requestId() {
		return this.call.head().requestId();
	}

	/**
	 * Returns which request of its caller the call continues.
	 * @return the id of that request, empty if the call starts anew or names none
	 */
	String resumedRequestId() {
		return this.call.head().resumption().flatMap(Resumption::requestId).orElse("");
	}

	/**
	 * Creates what a router adds to the request when it sends the call to a target.
	 * @param target the target
	 * @param remainingMillis time left to the target
	 * @param lastEventId id of the last event that the caller has received, empty for
	 * none
	 * @param copySource engine from which the target may copy the shared prefix
	 * @return the data
	 */
	Dispatch dispatchTo(TargetEntry target, long remainingMillis, Optional<String> lastEventId,
			Optional<TargetEntry> copySource) {
		return new Dispatch(target.id(), remainingMillis, this.organisation.map(Organisation::id), enginePriority(),
				lastEventId, copySource);
	}

	/**
	 * Returns whether the engines of the pool copy prompt prefixes from each other.
	 * @return false also for a pool of plain services
	 */
	boolean copiesPrefixes() {
		return this.engine.filter(EngineSpec::copiesPrefixes).isPresent();
	}

	/**
	 * Returns the priority of the call among the calls to an engine. That of the
	 * organisation overrides that of the route.
	 * @return the priority, 0 is the highest; empty for a pool of plain services
	 */
	OptionalInt enginePriority() {
		if (this.engine.isEmpty()) {
			return OptionalInt.empty();
		}
		int priority = this.organisation.map(Organisation::priority)
			.orElse(OptionalInt.empty())
			.orElse(this.route.priority());
		return OptionalInt.of(priority);
	}

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
