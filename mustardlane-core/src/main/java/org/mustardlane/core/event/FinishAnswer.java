package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * End the response to the caller: the answer is whole.
 *
 * @param requestId the request
 */
public record FinishAnswer(RequestId requestId) implements NodeAction {

}
