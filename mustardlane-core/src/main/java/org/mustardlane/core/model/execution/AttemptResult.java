package org.mustardlane.core.model.execution;

/**
 * How an attempt ended.
 */
public enum AttemptResult {

	/**
	 * The response was received completely.
	 */
	WHOLE,

	/**
	 * No byte of the request was written to the connection.
	 */
	NOT_SENT,

	/**
	 * No connection to the target could be made, so nothing was sent.
	 */
	UNREACHABLE,

	/**
	 * The target reported that it did not start the request.
	 */
	REFUSED,

	/**
	 * At least part of the request was sent, and no complete response was received.
	 */
	BROKEN,

	/**
	 * As {@link #BROKEN}, but the response was still buffered completely, so the caller
	 * has received none of it.
	 */
	BROKEN_UNSEEN,

	/**
	 * The request was sent and the target exceeded the idle timeout.
	 */
	SILENT,

	/**
	 * The engine no longer has the generation to resume.
	 */
	GENERATION_LOST

}
