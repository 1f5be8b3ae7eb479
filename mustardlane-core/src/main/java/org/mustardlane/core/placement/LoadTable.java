package org.mustardlane.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.mustardlane.core.model.common.TargetId;

/**
 * The loads of all targets as one router knows them.
 *
 * <p>
 * Not thread-safe.
 */
public final class LoadTable {

	private final Map<TargetId, TargetLoad> loads = new HashMap<>();

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
	 * @param gone the targets
	 */
	public void forget(Set<TargetId> gone) {
		this.loads.entrySet().removeIf((row) -> gone.contains(row.getKey()) && row.getValue().inFlight() == 0);
	}

}
