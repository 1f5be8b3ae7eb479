package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * The first byte of an attempt is about to be written to the connection. From now on the
 * target may run the request.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 */
public record AttemptSending(RequestId requestId, int attempt) implements NodeEvent {

}
