package org.mustardlane.core.message;

/**
 * How the owner of a partition answered.
 */
public enum ClaimVerdict {

	/**
	 * The claim is the first live one; the request may be sent.
	 */
	HELD,

	/**
	 * An earlier claim is live.
	 */
	HELD_BY_OTHER,

	/**
	 * An earlier claim is live and its body was another.
	 */
	BODY_DIFFERS,

	/**
	 * The log can not be read or written, or the history of claims has a gap; this claim
	 * will not run.
	 */
	UNAVAILABLE,

	/**
	 * An earlier claim has run; its answer is attached.
	 */
	COMPLETED,

	/**
	 * The asked router does not own the partition.
	 */
	NOT_OWNER

}
