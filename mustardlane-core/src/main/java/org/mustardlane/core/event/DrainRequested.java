package org.mustardlane.core.event;

/**
 * The router has been requested to drain and stop.
 *
 * @param deadlineMillis deadline after which the router stops even if requests are in
 * flight
 */
public record DrainRequested(long deadlineMillis) implements NodeEvent {

}
