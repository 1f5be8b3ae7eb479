package org.mustardlane.core.event;

import java.util.Optional;

import org.mustardlane.core.message.StoredAnswer;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.AttemptEnd;

/**
 * An attempt has ended.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 * @param end how the attempt ended
 * @param detail description of the end, for the time line
 * @param keptAnswer the copy of a complete response that {@link KeepAnswer} requested,
 * empty if none was requested or the response is too large
 */
public record AttemptEnded(RequestId requestId, int attempt, AttemptEnd end, String detail,
		Optional<StoredAnswer> keptAnswer) implements NodeEvent {

}
