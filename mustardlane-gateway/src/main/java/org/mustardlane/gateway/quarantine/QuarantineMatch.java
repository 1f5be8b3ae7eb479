package org.mustardlane.gateway.quarantine;

/**
 * The quarantine that applies to a call.
 *
 * @param byContent whether the call is refused for its whole content, not for a part of
 * its prompt
 * @param remainingMillis how long the call must not be sent
 */
public record QuarantineMatch(boolean byContent, long remainingMillis) {

}
