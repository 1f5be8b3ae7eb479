package org.mustardlane.core.execution;

/**
 * Limits attempts beyond the first of each request to a share of all requests, so that
 * retries and hedges never multiply an overload.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class AttemptBudget {

	private final double share;

	private final double limit;

	private double tokens;

	/**
	 * Creates a full budget.
	 * @param share extra attempts allowed for each request
	 * @param limit most extra attempts that may be saved up
	 */
	AttemptBudget(double share, double limit) {
		this.share = share;
		this.limit = limit;
		this.tokens = limit;
	}

	/**
	 * Counts a request.
	 */
	void earn() {
		this.tokens = Math.min(this.limit, this.tokens + this.share);
	}

	/**
	 * Takes one extra attempt.
	 * @return whether the budget allows it
	 */
	boolean trySpend() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
