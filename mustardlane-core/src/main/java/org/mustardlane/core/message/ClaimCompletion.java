package org.mustardlane.core.message;

/**
 * Says that a claimed request has been answered in whole.
 *
 * @param claimKey the key
 * @param attemptId the claim
 * @param answer the answer; an empty body with status 0 where it is too large to keep
 */
public record ClaimCompletion(String claimKey, String attemptId, StoredAnswer answer) implements PeerMessage {

}
