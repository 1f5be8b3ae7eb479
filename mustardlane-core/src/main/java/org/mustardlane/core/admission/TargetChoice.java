package org.mustardlane.core.admission;

import java.util.Optional;

/**
 * Chooses the target of an ask.
 */
interface TargetChoice {

	/**
	 * Chooses a target that may take the ask now.
	 * @param shard the shard
	 * @param pending the ask
	 * @param nowMillis the time
	 * @return the target, or empty where the ask has to wait
	 */
	Optional<TargetSlots> choose(Shard shard, PendingAsk pending, long nowMillis);

}
