package org.mustardlane.core.message;

import org.mustardlane.core.model.common.RequestId;

/**
 * Asks the owner of a partition to claim an idempotency key.
 *
 * @param requestId the request
 * @param attemptId names this claim; unique over all routers and restarts
 * @param claimKey organisation, entry and idempotency key, digested
 * @param bodyDigest SHA-256 of the body
 * @param deadlineMillis when the caller gives up
 */
public record ClaimAsk(RequestId requestId, String attemptId, String claimKey, byte[] bodyDigest,
		long deadlineMillis) implements PeerMessage {

}
