package org.mustardlane.core.placement;

import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;

/**
 * Chooses the target that a request is sent to.
 */
public interface PlacementPolicy {

	/**
	 * Chooses a target for a request.
	 * @param request the request and its candidates
	 * @param loads the loads of the targets
	 * @return the target, or empty if the request has no candidates
	 */
	Optional<TargetEntry> choose(PlacementRequest request, LoadTable loads);

}
