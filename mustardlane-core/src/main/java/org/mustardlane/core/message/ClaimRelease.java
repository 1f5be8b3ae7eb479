package org.mustardlane.core.message;

/**
 * Releases a claim under which nothing was sent.
 *
 * @param claimKey digest of organisation, entry and idempotency key
 * @param attemptId identifier of the claim
 */
public record ClaimRelease(String claimKey, String attemptId) implements PeerMessage {

}
