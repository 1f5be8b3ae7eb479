package org.mustardlane.core.event;

import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.common.RequestId;

/**
 * Sends the caller the stored response of an earlier request with the same claim key.
 *
 * @param requestId identifier of the request
 * @param answer the stored response
 */
public record SendStoredAnswer(RequestId requestId, StoredResponse answer) implements NodeAction {

}
