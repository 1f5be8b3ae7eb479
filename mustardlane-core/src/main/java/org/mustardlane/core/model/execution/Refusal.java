package org.mustardlane.core.model.execution;

/**
 * The final response to a request that cannot be answered.
 *
 * @param outcome whether the request may have run
 * @param code the reason
 * @param message human-readable reason
 * @param retryAfterMillis delay after which the caller may retry, 0 if a retry is useless
 */
public record Refusal(Outcome outcome, RefusalCode code, String message, long retryAfterMillis) {

}
