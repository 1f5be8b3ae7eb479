package org.mustardlane.router.answer;

import java.util.OptionalLong;

/**
 * The head of an answer.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param contentLengthBytes size of the body where the target has announced it
 */
public record AnswerHead(int status, String contentType, OptionalLong contentLengthBytes) {

}
