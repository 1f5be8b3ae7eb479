package org.mustardlane.router.caller;

/**
 * The body of a request, to be passed on unchanged.
 *
 * @param contentType media type, empty where the caller gave none
 * @param body the bytes
 */
public record RequestPayload(String contentType, byte[] body) {

}
