package org.mustardlane.core.quarantine;

import java.util.Collection;
import java.util.Set;

/**
 * A rule to refuse all calls with certain features.
 *
 * @param features the features, all of which a call must have to be refused; never empty
 * @param endUnixMillis time at which the rule ends. Processes that were started later
 * must understand it, so it is a time of the wall clock.
 */
public record Quarantine(Set<CallFeature> features, long endUnixMillis) {

	/**
	 * Copies the features.
	 * @throws IllegalArgumentException if there are no features
	 */
	public Quarantine {
		features = Set.copyOf(features);
		if (features.isEmpty()) {
			throw new IllegalArgumentException("a quarantine needs at least one feature");
		}
	}

	/**
	 * Returns whether the rule applies to a call.
	 * @param callFeatures the features of the call
	 * @return true if the call has all features of the rule
	 */
	public boolean matches(Collection<CallFeature> callFeatures) {
		return callFeatures.containsAll(this.features);
	}

}
