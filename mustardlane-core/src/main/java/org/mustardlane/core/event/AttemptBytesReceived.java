package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Bytes of an answer have arrived.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 1
 * @param totalBytes bytes of this attempt so far
 */
public record AttemptBytesReceived(RequestId requestId, int attempt, long totalBytes) implements NodeEvent {

}
