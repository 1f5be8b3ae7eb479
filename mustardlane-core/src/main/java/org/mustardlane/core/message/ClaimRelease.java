package org.mustardlane.core.message;

/**
 * Releases a claim under which nothing was sent.
 *
 * @param claimKey the key
 * @param attemptId the claim
 */
public record ClaimRelease(String claimKey, String attemptId) implements PeerMessage {

}
