package org.mustardlane.standin.platform;

/**
 * A record as it is stored in a stream.
 *
 * @param offset position in the stream, starting at 1
 * @param appendedAtMillis time of the append in milliseconds since the epoch
 * @param type type of the content
 * @param body content in Base64
 */
public record StoredRecord(long offset, long appendedAtMillis, String type, String body) {

}
