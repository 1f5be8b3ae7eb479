package org.mustardlane.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.TargetId;

/**
 * The loads of all targets, as known to this router.
 *
 * <p>
 * Not thread-safe.
 */
public final class LoadTable {

	private final Map<TargetId, TargetLoad> loads = new HashMap<>();

	private final DomainReach domains = new DomainReach();

	/**
	 * Returns the tracker of unreachable failure domains.
	 * @return the tracker
	 */
	public DomainReach domains() {
		return this.domains;
	}

	/**
	 * Returns whether requests to a target are paused, either for the target itself or
	 * for its whole failure domain.
	 * @param target the target
	 * @param own the failure domain of the router, whose targets are never paused
	 * together
	 * @param nowMillis the current time
	 * @return true if the target is paused
	 */
	public boolean isPaused(TargetEntry target, DomainId own, long nowMillis) {
		boolean cutOff = !target.domain().equals(own) && this.domains.isPaused(target.domain(), nowMillis);
		return cutOff || of(target.id()).isPaused(nowMillis);
	}

	/**
	 * Returns the load of a target.
	 * @param target the target
	 * @return the load of the target, without any requests if nothing is known about it
	 */
	public TargetLoad of(TargetId target) {
		return this.loads.computeIfAbsent(target, (id) -> new TargetLoad());
	}

	/**
	 * Returns the loads of all known targets.
	 * @return an immutable copy of the table, whose load objects are shared
	 */
	public Map<TargetId, TargetLoad> all() {
		return Map.copyOf(this.loads);
	}

	/**
	 * Removes targets that no longer exist, except those with requests of this router in
	 * flight.
	 * @param present the targets that still exist
	 */
	public void retain(Set<TargetId> present) {
		this.loads.entrySet().removeIf((row) -> !present.contains(row.getKey()) && row.getValue().inFlight() == 0);
	}

}
