package org.mustardlane.core.admission;

import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.model.common.RequestId;

/**
 * Identifies an attempt. Grant requests with the same key are duplicates of one another.
 *
 * @param requestId the ID of the request
 * @param attempt number of the attempt within the request
 */
record AttemptKey(RequestId requestId, int attempt) {

	static AttemptKey of(GrantRequest request) {
		return new AttemptKey(request.requestId(), request.attempt());
	}

	static AttemptKey of(GrantRelease release) {
		return new AttemptKey(release.requestId(), release.attempt());
	}

	static AttemptKey of(HeldGrant grant) {
		return new AttemptKey(grant.requestId(), grant.attempt());
	}

}
