package org.mustardlane.core.execution;

/**
 * The budgets for extra attempts, beyond the first of each request.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 *
 * @param hedges budget for a second attempt that runs in parallel to a late one
 * @param retries budget for attempts after one that was started and failed
 */
record AttemptBudgets(AttemptBudget hedges, AttemptBudget retries) {

	private static final double HEDGES_PER_REQUEST = 0.05;

	private static final double MAX_SAVED_HEDGES = 20;

	private static final double RETRIES_PER_REQUEST = 0.2;

	private static final double MAX_SAVED_RETRIES = 200;

	/**
	 * Creates full budgets.
	 */
	AttemptBudgets() {
		this(new AttemptBudget(HEDGES_PER_REQUEST, MAX_SAVED_HEDGES),
				new AttemptBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES));
	}

	/**
	 * Adds the tokens of one request to both budgets.
	 */
	void addRequest() {
		this.hedges.addRequest();
		this.retries.addRequest();
	}

}
