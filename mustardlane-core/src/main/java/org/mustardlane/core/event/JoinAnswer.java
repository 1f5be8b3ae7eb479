package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;

/**
 * Pass on the answer that another router, or this one for another request, produces.
 *
 * @param requestId the request
 * @param holderVm the router that produces it
 * @param holderRequestId the request it belongs to
 */
public record JoinAnswer(RequestId requestId, VmId holderVm, RequestId holderRequestId) implements NodeAction {

}
