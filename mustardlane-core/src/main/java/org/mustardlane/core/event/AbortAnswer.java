package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.Refusal;

/**
 * Break the response off in a way that the caller can see.
 *
 * @param requestId the request
 * @param refusal why
 */
public record AbortAnswer(RequestId requestId, Refusal refusal) implements NodeAction {

}
