package org.mustardlane.core.message;

/**
 * Decision of a partition owner on a claim request.
 */
public enum ClaimVerdict {

	/**
	 * The claim is the first valid one; the request may be sent.
	 */
	HELD,

	/**
	 * An earlier claim is valid.
	 */
	HELD_BY_OTHER,

	/**
	 * An earlier claim is valid and has a different request body.
	 */
	BODY_DIFFERS,

	/**
	 * The log cannot be read or written, or the history of claims has a gap. The request
	 * must not run under this claim.
	 */
	UNAVAILABLE,

	/**
	 * The request of an earlier claim has a stored response, which is attached.
	 */
	COMPLETED,

	/**
	 * The receiving router does not own the partition.
	 */
	NOT_OWNER

}
