package org.mustardlane.core.event;

import java.util.Optional;

import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.AttemptResult;

/**
 * An attempt has ended.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 * @param result how the attempt ended
 * @param detail description of the result, for the time line
 * @param storedResponse the copy of a complete response that {@link KeepAnswer}
 * requested, empty if none was requested or the response is too large
 */
public record AttemptEnded(RequestId requestId, int attempt, AttemptResult result, String detail,
		Optional<StoredResponse> storedResponse) implements NodeEvent {

}
