package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * The stream of an answer that another router produces has ended.
 *
 * @param requestId the request
 * @param whole whether the answer came to its end
 * @param deliveredBytes bytes that reached the caller
 */
public record JoinEnded(RequestId requestId, boolean whole, long deliveredBytes) implements NodeEvent {

}
