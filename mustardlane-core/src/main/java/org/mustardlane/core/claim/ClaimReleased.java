package org.mustardlane.core.claim;

/**
 * The end of a claim under which nothing was sent, as it stands in the log.
 *
 * @param claimKey the key
 * @param attemptId the claim
 */
record ClaimReleased(String claimKey, String attemptId) implements ClaimFact {

}
