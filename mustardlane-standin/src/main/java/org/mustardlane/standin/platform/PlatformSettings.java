package org.mustardlane.standin.platform;

/**
 * How the platform behaves without faults.
 *
 * @param appendsPerSecond appends that it accepts each second, over all streams
 * @param retentionMillis how long it keeps a record
 */
public record PlatformSettings(int appendsPerSecond, long retentionMillis) {

}
