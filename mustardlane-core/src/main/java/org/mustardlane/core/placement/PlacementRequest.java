package org.mustardlane.core.placement;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.DomainId;

/**
 * A request to choose a target for a call.
 *
 * @param candidates the targets to choose from, without those already tried for this call
 * @param prefix the part of the prompt that other calls share, empty if there is none
 * @param domain the failure domain of the router
 * @param nowMillis the current time
 */
public record PlacementRequest(List<TargetEntry> candidates, Optional<SharedPrefix> prefix, DomainId domain,
		long nowMillis) {

}
