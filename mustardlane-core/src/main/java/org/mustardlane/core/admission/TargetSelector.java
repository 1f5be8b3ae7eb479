package org.mustardlane.core.admission;

import java.util.Optional;

/**
 * Chooses the target of an ask.
 */
interface TargetSelector {

	/**
	 * Chooses a target that may take the ask now.
	 * @param shard the shard
	 * @param pending the ask
	 * @param nowMillis the time
	 * @return the target, or empty where the ask has to wait
	 */
	Optional<TargetSlots> choose(Shard shard, PendingRequest pending, long nowMillis);

	/**
	 * Returns how long an ask should wait for the home target of its chat before it goes
	 * elsewhere.
	 * @param shard the home shard of the chat
	 * @param pending the ask
	 * @param nowMillis the time
	 * @return the longest wait in milliseconds, 0 where it should not wait
	 */
	default long homeWaitMillis(Shard shard, PendingRequest pending, long nowMillis) {
		return 0;
	}

}
