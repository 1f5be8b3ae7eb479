package org.mustardlane.core.model.execution;

/**
 * How an attempt ended.
 */
public enum AttemptEnd {

	/**
	 * The answer was received to its end.
	 */
	WHOLE,

	/**
	 * No byte of the request was handed to the connection.
	 */
	NOT_SENT,

	/**
	 * No connection to the target could be made, so nothing was sent.
	 */
	UNREACHABLE,

	/**
	 * The target said that it did not start the request.
	 */
	REFUSED,

	/**
	 * The request was sent in part or whole and no whole answer came.
	 */
	BROKEN,

	/**
	 * As {@link #BROKEN}, while the answer was still held back whole, so that its caller
	 * has seen none of it.
	 */
	BROKEN_UNSEEN,

	/**
	 * The request was sent and the target fell silent.
	 */
	SILENT,

	/**
	 * The engine does not hold the generation that was to be resumed.
	 */
	GENERATION_LOST

}
