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

	private final DomainReachability domainReachability = new DomainReachability();

	/**
	 * Returns the tracker of unreachable failure domains.
	 * @return the tracker
	 */
	public DomainReachability domainReachability() {
		return this.domainReachability;
	}

	/**
	 * Returns whether requests to a target are paused, either for the target itself or
	 * for its whole failure domain.
	 * @param target the target
	 * @param ownDomain the failure domain of the router, whose targets are never paused
	 * together
	 * @param nowMillis the current time
	 * @return true if the target is paused
	 */
	public boolean isPaused(TargetEntry target, DomainId ownDomain, long nowMillis) {
		boolean isDomainPaused = !target.domain().equals(ownDomain)
				&& this.domainReachability.isPaused(target.domain(), nowMillis);
		return isDomainPaused || of(target.id()).isPaused(nowMillis);
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
	public Map<TargetId, TargetLoad> snapshot() {
		return Map.copyOf(this.loads);
	}

	/**
	 * Removes targets that no longer exist, except those with requests of this router in
	 * flight.
	 * @param existing the targets that still exist
	 */
	public void retain(Set<TargetId> existing) {
		this.loads.entrySet()
			.removeIf((entry) -> !existing.contains(entry.getKey()) && entry.getValue().inFlight() == 0);
	}

}
