package org.mustardlane.core.claim;

/**
 * Something that a record of a claims stream says about one attempt.
 */
sealed interface ClaimFact permits ClaimMade, ClaimReleased, ClaimCompleted {

	/**
	 * Returns the digested key.
	 * @return the key
	 */
	String claimKey();

	/**
	 * Returns the attempt that the fact is about.
	 * @return the name of the claim
	 */
	String attemptId();

}
