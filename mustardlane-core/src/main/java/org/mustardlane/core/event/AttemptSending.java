package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * The first byte of an attempt is about to be handed to the connection; from here on it
 * may run.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 1
 */
public record AttemptSending(RequestId requestId, int attempt) implements NodeEvent {

}
