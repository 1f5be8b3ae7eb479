package org.mustardlane.core.claim;

/**
 * A fact with the place in the log where it was first stated.
 *
 * @param <F> kind of fact
 * @param offset log offset of the first statement
 * @param appendedAtMillis time of the first statement by the clock of the log
 * @param fact the fact
 */
record LoggedFact<F extends ClaimFact>(long offset, long appendedAtMillis, F fact) {

	/**
	 * Returns whether two facts come from one record, whether carried forward or not.
	 * @param other the other fact
	 * @return whether their first statements are the same
	 */
	boolean isSameStatement(LoggedFact<F> other) {
		return this.offset == other.offset;
	}

	/**
	 * Returns whether the fact counts no longer at a time.
	 * @param windowMillis how long a fact counts
	 * @param logMillis the time by the clock of the log
	 * @return whether the window has passed
	 */
	boolean isExpired(long windowMillis, long logMillis) {
		return this.appendedAtMillis + windowMillis <= logMillis;
	}

}
