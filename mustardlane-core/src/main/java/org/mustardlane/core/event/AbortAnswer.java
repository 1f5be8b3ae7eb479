package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.Refusal;

/**
 * Aborts a response that has begun, so that the caller can detect that it is incomplete.
 *
 * @param requestId identifier of the request
 * @param refusal the reason
 */
public record AbortAnswer(RequestId requestId, Refusal refusal) implements NodeAction {

}
