package org.mustardlane.core.execution;

/**
 * The budgets of attempts beyond the first of each request.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 *
 * @param hedges second attempts beside a late one
 * @param retries attempts after one that was started and failed
 */
record AttemptBudgets(AttemptBudget hedges, AttemptBudget retries) {

	private static final double HEDGE_SHARE = 0.05;

	private static final double SAVED_HEDGES = 20;

	private static final double RETRY_SHARE = 0.2;

	private static final double SAVED_RETRIES = 200;

	/**
	 * Creates full budgets.
	 */
	AttemptBudgets() {
		this(new AttemptBudget(HEDGE_SHARE, SAVED_HEDGES), new AttemptBudget(RETRY_SHARE, SAVED_RETRIES));
	}

	/**
	 * Counts a request.
	 */
	void earn() {
		this.hedges.earn();
		this.retries.earn();
	}

}
