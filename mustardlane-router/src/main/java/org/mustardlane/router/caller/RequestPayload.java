package org.mustardlane.router.caller;

/**
 * Body of a request, which is passed on to targets unchanged.
 *
 * @param contentType media type, empty if the caller gave none
 * @param body bytes of the body
 */
public record RequestPayload(String contentType, byte[] body) {

}
