package org.mustardlane.core.claim;

import org.mustardlane.core.message.ClaimAsk;
import org.mustardlane.core.model.common.VmId;

/**
 * A claim request that waits for its reply.
 *
 * @param asker the router that sent the request
 * @param ask the request
 * @param giveUpMillis time at which the request is refused if it is still undecided
 * @param claim the record that claims the key
 */
record PendingClaim(VmId asker, ClaimAsk ask, long giveUpMillis, ClaimMade claim) {

	/**
	 * Creates a pending claim. Its reply deadline lies before the deadline of the
	 * request.
	 * @param asker the router that sent the request
	 * @param ask the request
	 * @param settings limits and durations
	 * @param nowMillis current time of this VM in milliseconds
	 * @return the pending claim
	 */
	static PendingClaim of(VmId asker, ClaimAsk ask, ClaimSettings settings, long nowMillis) {
		long giveUpMillis = Math.min(nowMillis + settings.patienceMillis(),
				ask.deadlineMillis() - settings.answerMarginMillis());
		long voidAfterMillis = giveUpMillis + settings.clockMarginMillis();
		ClaimMade claim = new ClaimMade(ask.claimKey(), ask.attemptId(), ask.requestId().value(), asker.value(),
				ask.bodyDigest(), voidAfterMillis);
		return new PendingClaim(asker, ask, giveUpMillis, claim);
	}

}
