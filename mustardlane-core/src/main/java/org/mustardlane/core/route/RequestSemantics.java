package org.mustardlane.core.route;

/**
 * Whether a request may be executed more than once, and whether its response is a stream.
 */
public enum RequestSemantics {

	/**
	 * The request may be executed more than once.
	 */
	IDEMPOTENT(true, false),

	/**
	 * The request must be executed at most once.
	 */
	NON_IDEMPOTENT(false, false),

	/**
	 * The response is a stream of events, and the request must be executed at most once.
	 */
	STREAM(false, true),

	/**
	 * The response is a stream of events that another target can resume after the last
	 * event received.
	 */
	RESUMABLE_STREAM(true, true);

	private final boolean repeatable;

	private final boolean streaming;

	RequestSemantics(boolean repeatable, boolean streaming) {
		this.repeatable = repeatable;
		this.streaming = streaming;
	}

	/**
	 * Returns whether another target may execute the request after one may already have
	 * executed it.
	 * @return true if the request is repeatable
	 */
	public boolean isRepeatable() {
		return this.repeatable;
	}

	/**
	 * Returns whether the response is a stream of events.
	 * @return true for a stream
	 */
	public boolean isStream() {
		return this.streaming;
	}

}
