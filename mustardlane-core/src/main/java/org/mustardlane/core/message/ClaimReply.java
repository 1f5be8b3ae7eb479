package org.mustardlane.core.message;

import java.util.Optional;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;

/**
 * The reply to a {@link ClaimRequest}.
 *
 * @param requestId identifier of the request
 * @param attemptId identifier of the requested claim
 * @param verdict the decision of the owner
 * @param offset log offset of the valid claim, 0 if there is none
 * @param holderVm the VM of the router that holds the valid claim
 * @param holderRequestId the request that holds the valid claim
 * @param response with {@code COMPLETED}: the stored response
 * @param retryAfterMillis delay after which the request may be retried
 */
public record ClaimReply(RequestId requestId, String attemptId, ClaimVerdict verdict, long offset,
		Optional<VmId> holderVm, Optional<RequestId> holderRequestId, Optional<StoredResponse> response,
		long retryAfterMillis) implements PeerMessage {

}
