package org.mustardlane.core.claim;

/**
 * A claim of a key, as recorded in the log.
 *
 * @param claimKey digested idempotency key
 * @param attemptId id of the attempt that makes the claim
 * @param requestId id of the claimed request
 * @param vm the router that requested the claim
 * @param bodyDigest SHA-256 of the request body
 * @param voidAfterMillis the claim is void if the log appends it after this time, by the
 * clock of the log
 */
record ClaimMade(String claimKey, String attemptId, String requestId, String vm, byte[] bodyDigest,
		long voidAfterMillis) implements ClaimFact {

	/**
	 * Returns a copy of the claim that uses another string for the VM. Equal names share
	 * one string to save memory.
	 * @param vmName the shared string
	 * @return the copy
	 */
	ClaimMade withVm(String vmName) {
		return new ClaimMade(this.claimKey, this.attemptId, this.requestId, vmName, this.bodyDigest,
				this.voidAfterMillis);
	}

}
