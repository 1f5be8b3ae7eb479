package org.mustardlane.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.TargetId;

/**
 * The loads of all targets as one router knows them.
 *
 * <p>
 * Not thread-safe.
 */
public final class LoadTable {

	private final Map<TargetId, TargetLoad> loads = new HashMap<>();

	private final DomainReach domains = new DomainReach();

	/**
	 * Returns whether failure domains can be reached.
	 * @return the reach
	 */
	public DomainReach domains() {
		return this.domains;
	}

	/**
	 * Tells whether a target should be left alone for now, for itself or with its domain.
	 * @param target the target
	 * @param own failure domain of the router, which is never cut off from itself
	 * @param nowMillis the time
	 * @return true while a pause lasts
	 */
	public boolean isPaused(TargetEntry target, DomainId own, long nowMillis) {
		boolean cutOff = !target.domain().equals(own) && this.domains.isPaused(target.domain(), nowMillis);
		return cutOff || of(target.id()).isPaused(nowMillis);
	}

	/**
	 * Returns the load of a target.
	 * @param target the target
	 * @return its load, an empty one where nothing is known of it
	 */
	public TargetLoad of(TargetId target) {
		return this.loads.computeIfAbsent(target, (id) -> new TargetLoad());
	}

	/**
	 * Returns all loads that are known.
	 * @return the loads by target
	 */
	public Map<TargetId, TargetLoad> all() {
		return Map.copyOf(this.loads);
	}

	/**
	 * Forgets targets that are gone and hold no request of this router.
	 * @param present the targets that are not gone
	 */
	public void retain(Set<TargetId> present) {
		this.loads.entrySet().removeIf((row) -> !present.contains(row.getKey()) && row.getValue().inFlight() == 0);
	}

}
