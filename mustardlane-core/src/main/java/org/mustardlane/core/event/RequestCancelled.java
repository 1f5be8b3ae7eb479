package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * A caller has disconnected before its response ended.
 *
 * @param requestId identifier of the request
 */
public record RequestCancelled(RequestId requestId) implements NodeEvent {

}
