package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Keeps a copy of the response of a request, up to a size limit, for its completion
 * record and for requests that join it.
 *
 * @param requestId identifier of the request
 * @param limitBytes largest response that is kept, in bytes
 */
public record KeepAnswer(RequestId requestId, int limitBytes) implements NodeAction {

}
