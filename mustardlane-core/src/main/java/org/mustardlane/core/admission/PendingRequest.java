package org.mustardlane.core.admission;

import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.model.common.VmId;

/**
 * An ask that waits for a decision.
 *
 * @param key names the ask
 * @param sender the router that asked
 * @param request the ask
 * @param arrivedAtMillis when it arrived
 * @param serviceMillis how long it will use a slot, as learned
 * @param latestStartMillis when it can no longer meet its deadline
 * @param homeWaitDeadlineMillis until when only the home target of its chat will do
 */
record PendingRequest(AttemptKey key, VmId sender, GrantAsk request, long arrivedAtMillis, long serviceMillis,
		long latestStartMillis, long homeWaitDeadlineMillis) {

	PendingRequest withHomeWaitDeadline(long deadlineMillis) {
		return new PendingRequest(this.key, this.sender, this.request, this.arrivedAtMillis, this.serviceMillis,
				this.latestStartMillis, deadlineMillis);
	}

}
