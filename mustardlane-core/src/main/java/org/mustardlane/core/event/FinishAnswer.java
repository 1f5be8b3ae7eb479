package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Ends the response to the caller, which is complete.
 *
 * @param requestId identifier of the request
 */
public record FinishAnswer(RequestId requestId) implements NodeAction {

}
