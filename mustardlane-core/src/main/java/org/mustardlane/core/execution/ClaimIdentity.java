package org.mustardlane.core.execution;

/**
 * Identifies the claim of a non-idempotent request.
 *
 * @param claimKey digest of organisation, entry and idempotency key
 * @param attemptId identifier of this claim, unique across all routers and restarts
 */
record ClaimIdentity(String claimKey, String attemptId) {

}
