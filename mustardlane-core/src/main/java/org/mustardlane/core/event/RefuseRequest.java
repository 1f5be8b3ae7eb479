package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.Refusal;

/**
 * Sends the caller a refusal. No byte of a response has been sent before.
 *
 * @param requestId identifier of the request
 * @param refusal the refusal
 */
public record RefuseRequest(RequestId requestId, Refusal refusal) implements NodeAction {

}
