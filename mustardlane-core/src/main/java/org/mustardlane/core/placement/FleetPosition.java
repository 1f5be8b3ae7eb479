package org.mustardlane.core.placement;

/**
 * The position of this router among all routers.
 *
 * @param rank number of routers whose ids precede the id of this router, from 0
 * @param routers number of all routers, at least 1
 */
public record FleetPosition(int rank, int routers) {

	/**
	 * Rejects a rank outside the fleet.
	 * @throws IllegalArgumentException if the rank is negative or not below the number of
	 * routers
	 */
	public FleetPosition {
		if (rank < 0 || rank >= routers) {
			throw new IllegalArgumentException("rank " + rank + " of " + routers);
		}
	}

}
