package org.mustardlane.core.message;

import java.util.Optional;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;

/**
 * Answers a {@link ClaimAsk}.
 *
 * @param requestId the request
 * @param attemptId the claim
 * @param verdict the answer
 * @param offset log offset of the live claim, 0 if there is none
 * @param holderVm who holds the live claim
 * @param holderRequestId the request that holds the live claim
 * @param answer with {@code COMPLETED}: the answer
 * @param retryAfterMillis when to come back
 */
public record ClaimAnswer(RequestId requestId, String attemptId, ClaimVerdict verdict, long offset,
		Optional<VmId> holderVm, Optional<RequestId> holderRequestId, Optional<StoredAnswer> answer,
		long retryAfterMillis) implements PeerMessage {

}
