package org.mustardlane.core.claim;

/**
 * A claim of a key, as it stands in the log.
 *
 * @param claimKey the key
 * @param attemptId the claim
 * @param requestId the request
 * @param vm the router that asked
 * @param bodyDigest SHA-256 of the body
 * @param voidAfterMillis the claim counts for nothing if the log takes it in after this
 * time, by the clock of the log
 */
record ClaimMade(String claimKey, String attemptId, String requestId, String vm, byte[] bodyDigest,
		long voidAfterMillis) implements ClaimFact {

	/**
	 * Returns the claim with another text of the same name.
	 * @param name the router that asked
	 * @return the claim
	 */
	ClaimMade withVm(String name) {
		return new ClaimMade(this.claimKey, this.attemptId, this.requestId, name, this.bodyDigest,
				this.voidAfterMillis);
	}

}
