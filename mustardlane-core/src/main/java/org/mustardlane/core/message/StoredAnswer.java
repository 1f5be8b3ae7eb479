package org.mustardlane.core.message;

/**
 * A small answer kept for retries.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body the body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {

}
