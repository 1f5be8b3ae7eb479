package org.mustardlane.gateway.exchange;

/**
 * An attempt of a call that has not ended.
 */
interface OpenAttempt {

	/**
	 * Returns whether the call may have been executed by this attempt.
	 * @return true once any byte may have been sent
	 */
	boolean isSent();

	/**
	 * Ends the attempt; the exchange is not notified of its end.
	 */
	void cancel();

	/**
	 * Resumes or suspends reading the response.
	 * @param autoRead true to read, false to suspend reading
	 */
	void setAutoRead(boolean autoRead);

	/**
	 * Called if the call ends before its response, because its time is up or its caller
	 * has left. The target may have fallen silent.
	 */
	void reportAbandoned();

	/**
	 * Tells the reachability of the pool if nothing has arrived for long.
	 */
	void reportSilence();

}
