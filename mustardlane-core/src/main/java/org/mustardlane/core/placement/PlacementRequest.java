package org.mustardlane.core.placement;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.DomainId;

/**
 * A request that needs a target.
 *
 * @param candidates targets that may be given it, without those that it failed at
 * @param prefix the part of its prompt that other requests share, empty where it shares
 * none
 * @param domain failure domain of the router
 * @param nowMillis the time
 */
public record PlacementRequest(List<TargetEntry> candidates, Optional<SharedPrefix> prefix, DomainId domain,
		long nowMillis) {

}
