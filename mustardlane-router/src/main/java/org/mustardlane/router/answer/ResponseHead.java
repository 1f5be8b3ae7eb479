package org.mustardlane.router.answer;

import java.util.OptionalLong;

/**
 * Head of the response to a request.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param contentLengthBytes size of the body, empty if the target has not announced it
 */
public record ResponseHead(int status, String contentType, OptionalLong contentLengthBytes) {

}
