package org.mustardlane.core.message;

/**
 * Reports that a claimed request has been answered completely.
 *
 * @param claimKey digest of organisation, entry and idempotency key
 * @param attemptId identifier of the claim
 * @param answer the response; status 0 and an empty body if the response is too large to
 * store
 */
public record ClaimCompletion(String claimKey, String attemptId, StoredAnswer answer) implements PeerMessage {

}
