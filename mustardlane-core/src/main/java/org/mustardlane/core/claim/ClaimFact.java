package org.mustardlane.core.claim;

/**
 * A recorded claim, release or completion of one attempt.
 */
sealed interface ClaimFact permits ClaimMade, ClaimReleased, ClaimCompleted {

	/**
	 * Returns the digested idempotency key.
	 * @return the key
	 */
	String claimKey();

	/**
	 * Returns the id of the attempt that the fact is about.
	 * @return the attempt id
	 */
	String attemptId();

}
