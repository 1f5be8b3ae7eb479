package org.mustardlane.core.event;

import java.util.Optional;

import org.mustardlane.core.message.StoredAnswer;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.AttemptEnd;

/**
 * An attempt has ended.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 1
 * @param end how
 * @param detail what was seen, for the time line
 * @param keptAnswer the copy of a whole answer that {@link KeepAnswer} asked for, empty
 * where none was asked for or the answer is too large
 */
public record AttemptEnded(RequestId requestId, int attempt, AttemptEnd end, String detail,
		Optional<StoredAnswer> keptAnswer) implements NodeEvent {

}
