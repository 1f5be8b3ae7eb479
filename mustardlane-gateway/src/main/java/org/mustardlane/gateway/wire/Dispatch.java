package org.mustardlane.gateway.wire;

import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Data that a router adds to the request when it sends a call to a target.
 *
 * @param target incarnation of the target that may execute the call
 * @param remainingMillis time left to the target to complete the call
 * @param organisation organisation whose key the call carries, empty if the call carries
 * no known key
 * @param resumeAfterEventId id of the last event that the caller has received, present if
 * the target is to resume a stream
 * @param copySource engine from which the target may copy the shared prefix, empty if the
 * target needs no copy
 */
public record Dispatch(TargetId target, long remainingMillis, Optional<OrganisationId> organisation,
		Optional<String> resumeAfterEventId, Optional<TargetEntry> copySource) {

}
