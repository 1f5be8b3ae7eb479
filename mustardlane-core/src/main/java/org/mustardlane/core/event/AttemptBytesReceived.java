package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Bytes of a response have arrived from a target.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 * @param totalBytes number of bytes that the attempt has received so far
 */
public record AttemptBytesReceived(RequestId requestId, int attempt, long totalBytes) implements NodeEvent {

}
