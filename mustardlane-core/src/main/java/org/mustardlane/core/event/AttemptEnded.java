package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.AttemptEnd;

/**
 * An attempt has ended.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 1
 * @param end how
 * @param detail what was seen, for the time line
 */
public record AttemptEnded(RequestId requestId, int attempt, AttemptEnd end, String detail) implements NodeEvent {

}
