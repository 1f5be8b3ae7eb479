package org.mustardlane.core.claim;

import org.mustardlane.core.message.ClaimAsk;
import org.mustardlane.core.model.common.VmId;

/**
 * An ask that waits for its answer.
 *
 * @param asker the router that asked
 * @param ask the ask
 * @param giveUpMillis when the wait ends
 * @param claim the record that claims the key
 */
record PendingClaim(VmId asker, ClaimAsk ask, long giveUpMillis, ClaimMade claim) {

	/**
	 * Creates the wait of an ask.
	 * @param asker the router that asked
	 * @param ask the ask
	 * @param settings limits and times
	 * @param nowMillis the time
	 * @return the wait
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
