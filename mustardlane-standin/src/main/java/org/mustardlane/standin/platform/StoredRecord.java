package org.mustardlane.standin.platform;

/**
 * A record of a stream.
 *
 * @param offset position in the stream, from 1
 * @param appendedAtMillis time of the append
 * @param type what the body holds
 * @param body the content in Base64
 */
public record StoredRecord(long offset, long appendedAtMillis, String type, String body) {

}
