package org.mustardlane.core.placement;

import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;

/**
 * Chooses the target of a request.
 */
public interface PlacementPolicy {

	/**
	 * Chooses a target.
	 * @param request the request and its candidates
	 * @param loads the loads of the targets
	 * @return the target, or empty where there is no candidate
	 */
	Optional<TargetEntry> choose(PlacementRequest request, LoadTable loads);

}
