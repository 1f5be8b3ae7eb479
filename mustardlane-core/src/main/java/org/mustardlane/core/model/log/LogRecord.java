package org.mustardlane.core.model.log;

/**
 * A record of a stream of the log.
 *
 * @param offset position in the stream, which defines the order of records
 * @param appendedAtMillis time of the append by the clock of the platform
 * @param type type of the body
 * @param body content in the format of the type
 */
public record LogRecord(long offset, long appendedAtMillis, String type, byte[] body) {

}
