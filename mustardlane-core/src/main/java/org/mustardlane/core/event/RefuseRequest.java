package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.Refusal;

/**
 * Give the caller its final word; no byte of a response has been sent.
 *
 * @param requestId the request
 * @param refusal the word
 */
public record RefuseRequest(RequestId requestId, Refusal refusal) implements NodeAction {

}
