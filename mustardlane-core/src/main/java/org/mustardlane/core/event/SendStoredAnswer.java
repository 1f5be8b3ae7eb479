package org.mustardlane.core.event;

import org.mustardlane.core.message.StoredAnswer;
import org.mustardlane.core.model.common.RequestId;

/**
 * Give the caller the kept answer of the request that holds its claim.
 *
 * @param requestId the request
 * @param answer the answer
 */
public record SendStoredAnswer(RequestId requestId, StoredAnswer answer) implements NodeAction {

}
