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
public final class DomainReach {

	/**
	 * Number of different targets that must fail, with no response from the domain in
	 * between, before the domain counts as unreachable. A single one may have crashed.
	 */
	private static final int TARGETS_OF_A_CUT = 2;

	private static final int FIRST_PAUSE_MILLIS = 500;

	private static final int LONGEST_PAUSE_MILLIS = 2000;

	private final Map<DomainId, State> states = new HashMap<>();

	/**
	 * Records that a connection to a target could not be established.
	 * @param domain the failure domain of the target
	 * @param target the target
	 * @param nowMillis the current time
	 */
	public void failed(DomainId domain, TargetId target, long nowMillis) {
		State state = this.states.computeIfAbsent(domain, (id) -> new State());
		state.failedTargets.add(target);
		boolean knownCut = state.pauses > 0;
		if (!knownCut && state.failedTargets.size() < TARGETS_OF_A_CUT) {
			return;
		}
		long pause = (long) FIRST_PAUSE_MILLIS << Math.min(10, state.pauses);
		state.pauses++;
		state.pausedUntilMillis = nowMillis + Math.min(LONGEST_PAUSE_MILLIS, pause);
	}

	/**
	 * Records that a target of a domain has responded, which ends the pause.
	 * @param domain the failure domain of the target
	 */
	public void reached(DomainId domain) {
		this.states.remove(domain);
	}

	/**
	 * Returns whether requests to the targets of a domain are paused.
	 * @param domain the failure domain
	 * @param nowMillis the current time
	 * @return true if the domain is paused
	 */
	public boolean isPaused(DomainId domain, long nowMillis) {
		State state = this.states.get(domain);
		return state != null && nowMillis < state.pausedUntilMillis;
	}

	private static final class State {

		private final Set<TargetId> failedTargets = new HashSet<>();

		private int pauses;

		private long pausedUntilMillis;

	}

}
