package org.mustardlane.proof.deployment;

import java.util.function.DoubleSupplier;

import org.mustardlane.core.placement.LeastLoadedPolicy;
import org.mustardlane.core.placement.PlacementPolicy;
import org.mustardlane.core.placement.PrefixPolicy;

/**
 * Ways to place calls that are compared.
 */
public enum PlacementChoice {

	/**
	 * Homes by prefix below a load bound; engines copy prefixes from each other.
	 */
	HOMES_AND_COPIES(true) {

		@Override
		PlacementPolicy policy(DoubleSupplier random) {
			return new PrefixPolicy(new LeastLoadedPolicy(random));
		}

	},

	/**
	 * Homes by prefix below a load bound, without copies.
	 */
	HOMES(false) {

		@Override
		PlacementPolicy policy(DoubleSupplier random) {
			return new PrefixPolicy(new LeastLoadedPolicy(random));
		}

	},

	/**
	 * The least loaded engine, whatever it holds.
	 */
	LEAST_LOADED(false) {

		@Override
		PlacementPolicy policy(DoubleSupplier random) {
			return new LeastLoadedPolicy(random);
		}

	};

	private final boolean copies;

	PlacementChoice(boolean copies) {
		this.copies = copies;
	}

	abstract PlacementPolicy policy(DoubleSupplier random);

	boolean copies() {
		return this.copies;
	}

}
