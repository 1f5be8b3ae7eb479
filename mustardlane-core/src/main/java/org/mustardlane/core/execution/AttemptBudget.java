package org.mustardlane.core.execution;

/**
 * Limits attempts beyond the first of each request to a tokensPerRequest of all requests,
 * so that retries and hedges never multiply an overload.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class AttemptBudget {

	private final double tokensPerRequest;

	private final double maxTokens;

	private double tokens;

	/**
	 * Creates a full budget.
	 * @param tokensPerRequest extra attempts allowed for each request
	 * @param maxTokens most extra attempts that may be saved up
	 */
	AttemptBudget(double tokensPerRequest, double maxTokens) {
		this.tokensPerRequest = tokensPerRequest;
		this.maxTokens = maxTokens;
		this.tokens = maxTokens;
	}

	/**
	 * Counts a request.
	 */
	void addRequest() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerRequest);
	}

	/**
	 * Takes one extra attempt.
	 * @return whether the budget allows it
	 */
	boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
