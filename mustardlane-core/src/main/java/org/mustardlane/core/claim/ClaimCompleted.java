package org.mustardlane.core.claim;

/**
 * The stored response of a claimed request, as recorded in the log.
 *
 * @param claimKey digested idempotency key
 * @param attemptId id of the attempt that made the claim
 * @param status HTTP status
 * @param contentType media type
 * @param body response body
 */
record ClaimCompleted(String claimKey, String attemptId, int status, String contentType,
		byte[] body) implements ClaimFact {

}
