package org.mustardlane.core.model.log;

/**
 * One record of a stream of the log.
 *
 * @param offset position in the stream; records are ordered by it
 * @param appendedAtMillis time of the append by the clock of the platform
 * @param type what the body holds
 * @param body the content, in the format of the type
 */
public record LogRecord(long offset, long appendedAtMillis, String type, byte[] body) {

}
