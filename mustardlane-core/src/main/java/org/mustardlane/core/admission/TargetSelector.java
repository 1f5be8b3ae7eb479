package org.mustardlane.core.admission;

import java.util.Optional;

/**
 * Chooses targets for grant requests.
 */
interface TargetSelector {

	/**
	 * Chooses a target that can take a request now.
	 * @param shard the shard
	 * @param pending the request
	 * @param nowMillis the current time in milliseconds
	 * @return the target, or empty if the request has to wait
	 */
	Optional<TargetSlots> choose(Shard shard, PendingRequest pending, long nowMillis);

	/**
	 * Returns how long a request should wait for the home target of its chat before it
	 * may use another one.
	 * @param shard the home shard of the chat
	 * @param pending the request
	 * @param nowMillis the current time in milliseconds
	 * @return the longest wait in milliseconds, 0 if the request should not wait
	 */
	default long homeWaitMillis(Shard shard, PendingRequest pending, long nowMillis) {
		return 0;
	}

}
