package org.mustardlane.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Tracks which failure domains are unreachable and pauses their targets.
 *
 * <p>
 * Without this, calls would run into a connect timeout at each target of an unreachable
 * domain before that target is paused. Not thread-safe.
 */
public final class DomainReachability {

	/**
	 * Number of different targets that must fail, with no response from the domain in
	 * between, before the domain counts as unreachable. A single one may have crashed.
	 */
	private static final int MIN_FAILED_TARGETS = 2;

	private static final int INITIAL_PAUSE_MILLIS = 500;

	private static final int MAX_PAUSE_MILLIS = 2000;

	private final Map<DomainId, DomainState> stateByDomain = new HashMap<>();

	/**
	 * Records that a connection to a target could not be established.
	 * @param domain the failure domain of the target
	 * @param target the target
	 * @param nowMillis the current time
	 */
	public void recordConnectFailure(DomainId domain, TargetId target, long nowMillis) {
		DomainState state = this.stateByDomain.computeIfAbsent(domain, (id) -> new DomainState());
		state.failedTargets.add(target);
		boolean isAlreadyUnreachable = state.pauseCount > 0;
		if (!isAlreadyUnreachable && state.failedTargets.size() < MIN_FAILED_TARGETS) {
			return;
		}
		long pauseMillis = (long) INITIAL_PAUSE_MILLIS << Math.min(10, state.pauseCount);
		state.pauseCount++;
		state.pauseEndMillis = nowMillis + Math.min(MAX_PAUSE_MILLIS, pauseMillis);
	}

	/**
	 * Records that a target of a domain has responded, which ends the pause.
	 * @param domain the failure domain of the target
	 */
	public void recordReachable(DomainId domain) {
		this.stateByDomain.remove(domain);
	}

	/**
	 * Returns whether requests to the targets of a domain are paused.
	 * @param domain the failure domain
	 * @param nowMillis the current time
	 * @return true if the domain is paused
	 */
	public boolean isPaused(DomainId domain, long nowMillis) {
		DomainState state = this.stateByDomain.get(domain);
		return state != null && nowMillis < state.pauseEndMillis;
	}

	private static final class DomainState {

		private final Set<TargetId> failedTargets = new HashSet<>();

		private int pauseCount;

		private long pauseEndMillis;

	}

}
