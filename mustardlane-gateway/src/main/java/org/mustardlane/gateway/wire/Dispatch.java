package org.mustardlane.gateway.wire;

import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.TargetId;

/**
 * What a router adds to a call that it sends to a target.
 *
 * @param target the incarnation that may run the call
 * @param timeLeftMillis time that the target has
 * @param organisation whose call it is, empty where no key was given
 * @param resumeAfter id of the last event that the caller has, where a router goes on
 * with a stream
 * @param copySource engine from which the target may copy the shared prefix, empty where
 * it need not
 */
public record Dispatch(TargetId target, long timeLeftMillis, Optional<OrganisationId> organisation,
		Optional<String> resumeAfter, Optional<TargetEntry> copySource) {

}
