package org.mustardlane.core.message;

/**
 * Reports that the response to a claimed request is complete.
 *
 * @param claimKey digest of organisation, entry and idempotency key
 * @param attemptId identifier of the claim
 * @param response the response; status 0 and an empty body if the response is too large
 * to store
 */
public record ClaimCompletion(String claimKey, String attemptId, StoredResponse response) implements PeerMessage {

}
