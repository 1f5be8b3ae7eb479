package org.mustardlane.core.model.execution;

/**
 * What became of a request, as its caller is told.
 */
public enum Outcome {

	/**
	 * The answer is whole.
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
