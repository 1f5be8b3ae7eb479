package org.mustardlane.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;

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
 * @param priority priority among the requests to an engine, 0 is the highest; empty for a
 * target that is no engine
 * @param resumeAfterEventId id of the last event that the caller has received, present if
 * the target is to resume a stream
 * @param copySource engine from which the target may copy the shared prefix, empty if the
 * target needs no copy
 */
public record Dispatch(TargetId target, long remainingMillis, Optional<OrganisationId> organisation,
		OptionalInt priority, Optional<String> resumeAfterEventId, Optional<TargetEntry> copySource) {

}
