package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * A joined response, which another request produces, has ended.
 *
 * @param requestId identifier of the request
 * @param complete whether the response was received completely
 * @param deliveredBytes number of bytes that were delivered to the caller
 */
public record JoinEnded(RequestId requestId, boolean complete, long deliveredBytes) implements NodeEvent {

}
