package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * A request of a caller has been received completely.
 *
 * @param requestId identifier of the request
 * @param request the received request
 */
public record RequestArrived(RequestId requestId, CallerRequest request) implements NodeEvent {

}
