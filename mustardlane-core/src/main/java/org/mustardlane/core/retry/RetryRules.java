package org.mustardlane.core.retry;

/**
 * Decides what to do after an attempt without a usable response.
 *
 * <p>
 * A call that is not repeatable is retried only if it is certain that no target has
 * executed it. Thread-safe: all methods are pure functions.
 */
public final class RetryRules {

	/**
	 * Maximum number of attempts of a call. If that many targets reject the call or
	 * cannot be reached, the router's view of the pool is probably outdated and further
	 * attempts would fail as well.
	 */
	private static final int MAX_SENDS = 4;

	private RetryRules() {
	}

	/**
	 * Decides what to do after an attempt.
	 * @param state the attempts of the call so far, including the last one
	 * @param failure how the last attempt failed
	 * @return the next step
	 */
	public static NextStep nextStep(CallState state, AttemptFailure failure) {
		return switch (failure) {
			case NOT_SENT -> (state.sends() < MAX_SENDS) ? NextStep.RETRY : NextStep.GIVE_UP;
			case NOT_EXECUTED -> (state.sends() < MAX_SENDS) ? NextStep.RETRY_WITHIN_BUDGET : NextStep.GIVE_UP;
			case FAILURE_ANSWERED -> canRunAgain(state) ? NextStep.RETRY_WITHIN_BUDGET : NextStep.RELAY;
			case BROKEN -> canRunAgain(state) ? NextStep.RETRY_WITHIN_BUDGET : NextStep.GIVE_UP;
		};
	}

	/**
	 * Returns whether a call that may have been executed may be executed by another
	 * target.
	 * @param state the attempts of the call so far
	 * @return true if another target may execute the call
	 */
	public static boolean canRunAgain(CallState state) {
		return state.semantics().isRepeatable() && state.runs() < state.maxRuns() && state.sends() < MAX_SENDS;
	}

}
