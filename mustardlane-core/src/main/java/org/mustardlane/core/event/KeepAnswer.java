package org.mustardlane.core.event;

import org.mustardlane.core.model.common.RequestId;

/**
 * Hold a copy of the answer of this request, up to a size, for its completion record and
 * for joiners.
 *
 * @param requestId the request
 * @param limitBytes largest answer that is kept
 */
public record KeepAnswer(RequestId requestId, int limitBytes) implements NodeAction {

}
