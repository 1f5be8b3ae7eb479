package org.mustardlane.core.route;

/**
 * The time during which a router shuts down.
 *
 * @param startedAtMillis time at which the shutdown started
 * @param deadlineMillis time at which the process ends at the latest
 */
public record ShutdownWindow(long startedAtMillis, long deadlineMillis) {

}
