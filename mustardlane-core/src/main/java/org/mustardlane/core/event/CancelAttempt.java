package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Give an attempt up and close its connection.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 1
 */
public record CancelAttempt(RequestId requestId, int attempt) implements NodeAction {

}
