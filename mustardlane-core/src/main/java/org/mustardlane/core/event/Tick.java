package org.mustardlane.core.event;

/**
 * Time has passed; the daemon sends one every few milliseconds.
 */
public record Tick() implements NodeEvent {

}
