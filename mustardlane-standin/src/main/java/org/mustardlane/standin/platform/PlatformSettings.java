package org.mustardlane.standin.platform;

/**
 * Limits of the fake platform when no faults are injected.
 *
 * @param appendsPerSecond number of appends accepted per second over all streams
 * @param retentionMillis age in milliseconds after which a record is removed
 */
public record PlatformSettings(int appendsPerSecond, long retentionMillis) {

}
