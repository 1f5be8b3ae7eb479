package org.mustardlane.core.placement;

import java.util.HashSet;
import java.util.Set;

import org.mustardlane.core.model.common.TargetId;

/**
 * Tells whether this router reaches the targets of one pool.
 *
 * <p>
 * A router can lose the path to all targets of a pool while other routers keep theirs.
 * Bytes from any target of the pool show that there is a path. Not thread-safe.
 */
public final class PoolReachability {

	/**
	 * Number of different targets that cannot be connected to, with no byte from the pool
	 * in between, before the pool counts as unreachable. A single one may have crashed.
	 */
	private static final int MIN_FAILED_TARGETS = 2;

	/**
	 * Interval at which one call tests whether an unreachable pool can be reached again.
	 */
	private static final int TRIAL_INTERVAL_MILLIS = 500;

	/**
	 * A router that has few calls tries its own path again after this time.
	 */
	private static final int VALIDITY_MILLIS = 3000;

	private final Set<TargetId> failedTargets = new HashSet<>();

	private long lastReceivedMillis = Long.MIN_VALUE;

	private boolean silent;

	private long unreachableUntilMillis = Long.MIN_VALUE;

	private long nextTrialMillis;

	/**
	 * Records that a connection to a target could not be established.
	 * @param target the target
	 * @param readyTargets number of targets of the pool
	 * @param nowMillis the current time
	 */
	public void recordConnectFailure(TargetId target, int readyTargets, long nowMillis) {
		this.failedTargets.add(target);
		if (this.failedTargets.size() >= Math.min(MIN_FAILED_TARGETS, readyTargets)) {
			this.unreachableUntilMillis = nowMillis + VALIDITY_MILLIS;
			this.nextTrialMillis = nowMillis + TRIAL_INTERVAL_MILLIS;
		}
	}

	/**
	 * Records that a call has waited for long without a byte from its target. The pool
	 * counts as silent if no other target has sent any in the meantime.
	 * @param waitingSinceMillis time from which on the target has sent nothing
	 */
	public void recordSilence(long waitingSinceMillis) {
		if (this.lastReceivedMillis < waitingSinceMillis) {
			this.silent = true;
		}
	}

	/**
	 * Records that a target has sent something.
	 * @param nowMillis the current time
	 */
	public void recordReceived(long nowMillis) {
		this.lastReceivedMillis = nowMillis;
		this.silent = false;
		this.unreachableUntilMillis = Long.MIN_VALUE;
		this.failedTargets.clear();
	}

	/**
	 * Returns whether established connections may have lost their path, so that a call
	 * that must run at most once needs a new connection.
	 * @return true since a failure or a silence after which no target has sent anything
	 */
	public boolean isDoubtful() {
		return this.silent || !this.failedTargets.isEmpty();
	}

	/**
	 * Returns whether this router reaches no target of the pool.
	 * @param nowMillis the current time
	 * @return true until a target sends something, or no connection has been tried for a
	 * while
	 */
	public boolean isUnreachable(long nowMillis) {
		return nowMillis < this.unreachableUntilMillis;
	}

	/**
	 * Returns whether a call is to test whether an unreachable pool can be reached again.
	 * @param nowMillis the current time
	 * @return true for one call in each interval
	 */
	public boolean tryStartTrial(long nowMillis) {
		if (nowMillis < this.nextTrialMillis) {
			return false;
		}
		this.nextTrialMillis = nowMillis + TRIAL_INTERVAL_MILLIS;
		return true;
	}

}
