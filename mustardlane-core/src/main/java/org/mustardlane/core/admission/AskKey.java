package org.mustardlane.core.admission;

import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.model.common.RequestId;

/**
 * Names an ask; a second ask with the same key is the same ask.
 *
 * @param requestId the request
 * @param attempt number of the attempt within the request
 */
record AskKey(RequestId requestId, int attempt) {

	static AskKey of(GrantAsk ask) {
		return new AskKey(ask.requestId(), ask.attempt());
	}

	static AskKey of(GrantRelease release) {
		return new AskKey(release.requestId(), release.attempt());
	}

	static AskKey of(HeldGrant grant) {
		return new AskKey(grant.requestId(), grant.attempt());
	}

}
