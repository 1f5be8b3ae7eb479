package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;

/**
 * Forwards the response of another request, on this or another router, to the caller.
 *
 * @param requestId identifier of the request
 * @param holderVm the VM of the router that produces the response
 * @param holderRequestId identifier of the request that produces the response
 */
public record JoinAnswer(RequestId requestId, VmId holderVm, RequestId holderRequestId) implements NodeAction {

}
