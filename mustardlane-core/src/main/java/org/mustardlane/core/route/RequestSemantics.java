package org.mustardlane.core.route;

/**
 * What a router may do with a request after a first attempt.
 */
public enum RequestSemantics {

	/**
	 * May run more than once.
	 */
	IDEMPOTENT(true, false),

	/**
	 * Runs at most once.
	 */
	NON_IDEMPOTENT(false, false),

	/**
	 * A stream of events that runs at most once.
	 */
	STREAM(false, true),

	/**
	 * A stream of events that another target may go on with after the last event.
	 */
	RESUMABLE_STREAM(true, true);

	private final boolean repeatable;

	private final boolean stream;

	RequestSemantics(boolean repeatable, boolean stream) {
		this.repeatable = repeatable;
		this.stream = stream;
	}

	/**
	 * Tells whether a second target may run the request after the first may have run it.
	 * @return true if it may
	 */
	public boolean isRepeatable() {
		return this.repeatable;
	}

	/**
	 * Tells whether the answer is a stream of events.
	 * @return true if it is
	 */
	public boolean isStream() {
		return this.stream;
	}

}
