package org.mustardlane.core.event;

/**
 * A periodic timer event that the daemon raises every few milliseconds.
 */
public record Tick() implements NodeEvent {

}
