package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * A caller has sent a whole request.
 *
 * @param requestId the request
 * @param request the request
 */
public record RequestArrived(RequestId requestId, CallerRequest request) implements NodeEvent {

}
