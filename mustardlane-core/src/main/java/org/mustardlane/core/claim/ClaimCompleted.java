package org.mustardlane.core.claim;

/**
 * The whole answer of a claimed request, as it stands in the log.
 *
 * @param claimKey the key
 * @param attemptId the claim
 * @param status HTTP status
 * @param contentType media type
 * @param body the body
 */
record ClaimCompleted(String claimKey, String attemptId, int status, String contentType,
		byte[] body) implements ClaimFact {

}
