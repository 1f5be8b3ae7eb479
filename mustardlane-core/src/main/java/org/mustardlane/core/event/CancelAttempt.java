package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Cancels an attempt and closes its connection.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 */
public record CancelAttempt(RequestId requestId, int attempt) implements NodeAction {

}
