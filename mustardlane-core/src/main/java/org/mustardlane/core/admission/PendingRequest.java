package org.mustardlane.core.admission;

import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.model.common.VmId;

/**
 * Holds a grant request that has not been decided yet.
 *
 * @param key the attempt that the request is for
 * @param sender the router that sent the request
 * @param request the grant request
 * @param arrivedAtMillis time at which the request arrived
 * @param serviceMillis expected time in a slot in milliseconds, from recent requests
 * @param latestStartMillis latest start time at which the request can meet its deadline
 * @param homeWaitDeadlineMillis time until which only the home target of the chat is used
 */
record PendingRequest(AttemptKey key, VmId sender, GrantRequest request, long arrivedAtMillis, long serviceMillis,
		long latestStartMillis, long homeWaitDeadlineMillis) {

	PendingRequest withHomeWaitDeadline(long deadlineMillis) {
		return new PendingRequest(this.key, this.sender, this.request, this.arrivedAtMillis, this.serviceMillis,
				this.latestStartMillis, deadlineMillis);
	}

}
