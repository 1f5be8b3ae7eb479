package org.mustardlane.core.execution;

/**
 * A token bucket that limits extra attempts, beyond the first of each request, to a share
 * of all requests, so that retries and hedges cannot amplify an overload.
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
	 * @param tokensPerRequest number of extra attempts that each request adds to the
	 * budget
	 * @param maxTokens largest number of extra attempts that can be saved
	 */
	AttemptBudget(double tokensPerRequest, double maxTokens) {
		this.tokensPerRequest = tokensPerRequest;
		this.maxTokens = maxTokens;
		this.tokens = maxTokens;
	}

	/**
	 * Adds the tokens of one request to the budget.
	 */
	void addRequest() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerRequest);
	}

	/**
	 * Takes the token for one extra attempt.
	 * @return whether a token was available
	 */
	boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
