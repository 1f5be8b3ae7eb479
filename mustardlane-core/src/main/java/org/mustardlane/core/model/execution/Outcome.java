package org.mustardlane.core.model.execution;

/**
 * Outcome of a request, as reported to its caller.
 */
public enum Outcome {

	/**
	 * The response is complete.
	 */
	ANSWERED,

	/**
	 * No target has started the request.
	 */
	NOT_RUN,

	/**
	 * The request may have run.
	 */
	UNKNOWN

}
