package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * A caller has gone away.
 *
 * @param requestId the request
 */
public record RequestCancelled(RequestId requestId) implements NodeEvent {

}
