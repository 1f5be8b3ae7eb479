package org.mustardlane.core.event;

/**
 * The router is to stop.
 *
 * @param deadlineMillis when requests still in flight are given up
 */
public record DrainRequested(long deadlineMillis) implements NodeEvent {

}
