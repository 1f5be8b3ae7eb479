package org.mustardlane.core.model.execution;

/**
 * The final word on a request that is not answered.
 *
 * @param outcome whether the request may have run
 * @param code why
 * @param message the reason in words for a person
 * @param retryAfterMillis when to come back, 0 where coming back is useless
 */
public record Refusal(Outcome outcome, RefusalCode code, String message, long retryAfterMillis) {

}
