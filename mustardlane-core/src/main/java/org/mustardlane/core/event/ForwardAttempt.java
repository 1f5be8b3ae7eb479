package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Starts to forward the response of an attempt to the caller, beginning with the head if
 * none was sent.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 */
public record ForwardAttempt(RequestId requestId, int attempt) implements NodeAction {

}
