package org.mustardlane.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Whether the targets of a failure domain can be reached.
 *
 * <p>
 * Where a domain is cut off, each of its targets would otherwise cost a call a timeout
 * before it is left alone. Not thread-safe.
 */
public final class DomainReach {

	/**
	 * Different targets that have to fail with none reached in between; one alone may
	 * have crashed.
	 */
	private static final int TARGETS_OF_A_CUT = 2;

	private static final int FIRST_PAUSE_MILLIS = 500;

	private static final int LONGEST_PAUSE_MILLIS = 2000;

	private final Map<DomainId, State> states = new HashMap<>();

	/**
	 * Notes that no connection to a target could be made.
	 * @param domain its failure domain
	 * @param target the target
	 * @param nowMillis the time
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
	 * Notes that a target has answered.
	 * @param domain its failure domain
	 */
	public void reached(DomainId domain) {
		this.states.remove(domain);
	}

	/**
	 * Tells whether the targets of a domain should be left alone for now.
	 * @param domain the failure domain
	 * @param nowMillis the time
	 * @return true while the pause lasts
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
