package org.mustardlane.core.admission;

import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.model.common.VmId;

/**
 * An ask that waits for a decision.
 *
 * @param key names the ask
 * @param sender the router that asked
 * @param ask the ask
 * @param arrivedAtMillis when it arrived
 * @param workMillis how long it will use a slot, as learned
 * @param latestStartMillis when it can no longer meet its deadline
 * @param homeOnlyUntilMillis until when only the home target of its chat will do
 */
record PendingAsk(AskKey key, VmId sender, GrantAsk ask, long arrivedAtMillis, long workMillis, long latestStartMillis,
		long homeOnlyUntilMillis) {

	PendingAsk waitingForHomeUntil(long millis) {
		return new PendingAsk(this.key, this.sender, this.ask, this.arrivedAtMillis, this.workMillis,
				this.latestStartMillis, millis);
	}

}
