package org.mustardlane.core.claim;

/**
 * The release of a claim whose request was not sent to a target, as recorded in the log.
 *
 * @param claimKey digested idempotency key
 * @param attemptId id of the attempt that made the claim
 */
record ClaimReleased(String claimKey, String attemptId) implements ClaimFact {

}
