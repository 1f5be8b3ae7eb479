package org.mustardlane.core.message;

/**
 * A small response that is stored for retries.
 *
 * @param status HTTP status code
 * @param contentType media type
 * @param body the response body
 */
public record StoredResponse(int status, String contentType, byte[] body) {

}
