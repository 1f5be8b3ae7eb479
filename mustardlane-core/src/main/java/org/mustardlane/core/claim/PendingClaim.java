package org.mustardlane.core.claim;

import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.model.common.VmId;

/**
 * A claim request that waits for its reply.
 *
 * @param requester the router that sent the request
 * @param request the request
 * @param replyDeadlineMillis time at which the request is refused if it is still
 * undecided
 * @param claim the record that claims the key
 */
record PendingClaim(VmId requester, ClaimRequest request, long replyDeadlineMillis, ClaimMade claim) {

	/**
	 * Creates a pending claim. Its reply deadline lies before the deadline of the
	 * request.
	 * @param requester the router that sent the request
	 * @param request the request
	 * @param settings limits and durations
	 * @param nowMillis current time of this VM in milliseconds
	 * @return the pending claim
	 */
	static PendingClaim of(VmId requester, ClaimRequest request, ClaimSettings settings, long nowMillis) {
		long replyDeadlineMillis = Math.min(nowMillis + settings.logTimeoutMillis(),
				request.deadlineMillis() - settings.replyMarginMillis());
		long voidAfterMillis = replyDeadlineMillis + settings.clockMarginMillis();
		ClaimMade claim = new ClaimMade(request.claimKey(), request.attemptId(), request.requestId().value(),
				requester.value(), request.bodyDigest(), voidAfterMillis);
		return new PendingClaim(requester, request, replyDeadlineMillis, claim);
	}

}
