package org.mustardlane.core.quarantine;

import org.mustardlane.core.model.common.TargetId;

/**
 * A crash of a target, as the calls lost with it show it.
 *
 * @param target the target
 * @param atMillis time at which the first known call was lost
 */
record Crash(TargetId target, long atMillis) {

	/**
	 * Returns whether a call was lost with this crash.
	 * @param call the call
	 * @param minRestartMillis time that a crashed target takes at least to be back
	 * @return true if the call was lost at the same target and time
	 */
	boolean includes(LostCall call, int minRestartMillis) {
		return this.target.equals(call.target()) && Math.abs(call.lostAtMillis() - this.atMillis) < minRestartMillis;
	}

}
