package org.mustardlane.core.placement;

import org.mustardlane.core.directory.TargetEntry;

/**
 * A time for which a target wants no requests from this router. It ends early if the
 * target starts again.
 *
 * @param targetStartedAtMillis start time of the target on the clock of the platform, 0
 * if unknown
 * @param endMillis end of the pause on the clock of this router
 */
public record RequestedPause(long targetStartedAtMillis, long endMillis) {

	/**
	 * Stands for a target that has never asked for a pause.
	 */
	public static final RequestedPause NONE = new RequestedPause(0, Long.MIN_VALUE);

	/**
	 * Returns the pause that holds after another one was asked for.
	 * @param other the other pause
	 * @return the pause of the newer start of the target, of one start the one that ends
	 * later
	 */
	RequestedPause combine(RequestedPause other) {
		if (this.targetStartedAtMillis != other.targetStartedAtMillis) {
			return (this.targetStartedAtMillis > other.targetStartedAtMillis) ? this : other;
		}
		return (this.endMillis > other.endMillis) ? this : other;
	}

	/**
	 * Returns the time until the pause ends.
	 * @param target the current entry of the target
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if requests may be sent now
	 */
	long remainingMillis(TargetEntry target, long nowMillis) {
		boolean isOver = nowMillis >= this.endMillis || target.startedAtMillis() > this.targetStartedAtMillis;
		return isOver ? 0 : this.endMillis - nowMillis;
	}

}
