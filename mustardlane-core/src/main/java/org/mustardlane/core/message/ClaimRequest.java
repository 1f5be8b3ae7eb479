package org.mustardlane.core.message;

import org.mustardlane.core.model.common.RequestId;

/**
 * Requests a claim of an idempotency key from the owner of its partition.
 *
 * @param requestId identifier of the request
 * @param attemptId identifier of this claim, unique across all routers and restarts
 * @param claimKey digest of organisation, entry and idempotency key
 * @param bodyDigest SHA-256 digest of the request body
 * @param deadlineMillis deadline of the claim request
 */
public record ClaimRequest(RequestId requestId, String attemptId, String claimKey, byte[] bodyDigest,
		long deadlineMillis) implements PeerMessage {

}
