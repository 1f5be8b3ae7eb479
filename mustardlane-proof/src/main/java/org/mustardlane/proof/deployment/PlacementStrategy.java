package org.mustardlane.proof.deployment;

import java.util.function.DoubleSupplier;

import org.mustardlane.core.placement.LeastLoadedPolicy;
import org.mustardlane.core.placement.PlacementPolicy;
import org.mustardlane.core.placement.PrefixPolicy;

/**
 * The compared placement strategies. The names are printed in the result table.
 */
public enum PlacementStrategy {

	/**
	 * Calls go to the home engine of their prefix up to a load bound; engines copy
	 * prefixes from each other.
	 */
	HOMES_AND_COPIES(true) {

		@Override
		PlacementPolicy createPolicy(DoubleSupplier random) {
			return new PrefixPolicy(new LeastLoadedPolicy(random));
		}

	},

	/**
	 * Calls go to the home engine of their prefix up to a load bound; prefixes are not
	 * copied.
	 */
	HOMES(false) {

		@Override
		PlacementPolicy createPolicy(DoubleSupplier random) {
			return new PrefixPolicy(new LeastLoadedPolicy(random));
		}

	},

	/**
	 * Calls go to the least loaded engine, regardless of its cached prefixes.
	 */
	LEAST_LOADED(false) {

		@Override
		PlacementPolicy createPolicy(DoubleSupplier random) {
			return new LeastLoadedPolicy(random);
		}

	};

	private final boolean copiesPrefixes;

	PlacementStrategy(boolean copiesPrefixes) {
		this.copiesPrefixes = copiesPrefixes;
	}

	abstract PlacementPolicy createPolicy(DoubleSupplier random);

	boolean copiesPrefixes() {
		return this.copiesPrefixes;
	}

}
