package org.mustardlane.core.retry;

/**
 * Decides what follows an attempt without a usable answer.
 *
 * <p>
 * A call that is not repeatable goes to another target only while it is certain that it
 * has not run.
 */
public final class RetryRules {

	/**
	 * Attempts after which targets that refuse or can not be reached are no longer tried;
	 * by then the view of the pool is wrong rather than one target.
	 */
	private static final int MOST_SENDS = 4;

	private RetryRules() {
	}

	/**
	 * Decides.
	 * @param state how far the call has come, the last attempt included
	 * @param result how the last attempt ended
	 * @return what to do
	 */
	public static NextStep after(CallState state, AttemptResult result) {
		return switch (result) {
			case NOT_SENT -> (state.sends() < MOST_SENDS) ? NextStep.RETRY : NextStep.GIVE_UP;
			case NOT_EXECUTED -> (state.sends() < MOST_SENDS) ? NextStep.RETRY_WITHIN_BUDGET : NextStep.GIVE_UP;
			case FAILURE_ANSWERED -> mayRunAgain(state) ? NextStep.RETRY_WITHIN_BUDGET : NextStep.RELAY;
			case BROKEN -> mayRunAgain(state) ? NextStep.RETRY_WITHIN_BUDGET : NextStep.GIVE_UP;
		};
	}

	/**
	 * Tells whether a call may run at another target after it may have run.
	 * @param state how far it has come
	 * @return true if it may
	 */
	public static boolean mayRunAgain(CallState state) {
		return state.semantics().isRepeatable() && state.runs() < state.maxRuns() && state.sends() < MOST_SENDS;
	}

}
