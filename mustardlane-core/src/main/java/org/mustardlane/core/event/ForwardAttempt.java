package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Pass the answer of this attempt to the caller from now on, head first if none was sent.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 1
 */
public record ForwardAttempt(RequestId requestId, int attempt) implements NodeAction {

}
