package org.mustardlane.core.execution;

/**
 * Names the claim of a non-idempotent request.
 *
 * @param claimKey organisation, entry and idempotency key, digested
 * @param attemptId names this claim; unique over all routers and restarts
 */
record ClaimIdentity(String claimKey, String attemptId) {

}
