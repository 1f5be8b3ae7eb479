package org.mustardlane.core.placement;

import java.util.OptionalInt;

/**
 * Whether refusals bring a target down.
 *
 * @param fatalRefusalsPerSecond number of refusals in one second, for want of room, above
 * which the target fails; empty if refusals do no harm
 * @param reportedAtMillis time at which the target reported this
 */
public record Brittleness(OptionalInt fatalRefusalsPerSecond, long reportedAtMillis) {

	/**
	 * Stands for a target that has not reported anything.
	 */
	public static final Brittleness NONE = new Brittleness(OptionalInt.empty(), Long.MIN_VALUE);

	/**
	 * Returns whether refusals bring the target down.
	 * @return true if the target has reported a number
	 */
	public boolean isBrittle() {
		return this.fatalRefusalsPerSecond.isPresent();
	}

}
