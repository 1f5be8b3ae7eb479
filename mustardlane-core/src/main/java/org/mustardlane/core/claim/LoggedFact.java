package org.mustardlane.core.claim;

/**
 * A fact with the offset and time of the record that first contained it.
 *
 * @param <F> type of the fact
 * @param offset log offset of the first record
 * @param appendedAtMillis append time of the first record by the clock of the log
 * @param fact the fact
 */
record LoggedFact<F extends ClaimFact>(long offset, long appendedAtMillis, F fact) {

	/**
	 * Returns whether two facts originate from the same record. One of them may be a copy
	 * in a checkpoint.
	 * @param other the other fact
	 * @return whether the offsets of their first records are equal
	 */
	boolean isFromSameRecord(LoggedFact<F> other) {
		return this.offset == other.offset;
	}

	/**
	 * Returns whether the lifetime of the fact has passed.
	 * @param windowMillis lifetime of the fact in milliseconds
	 * @param logMillis current time by the clock of the log, in milliseconds
	 * @return whether the fact is expired
	 */
	boolean isExpired(long windowMillis, long logMillis) {
		return this.appendedAtMillis + windowMillis <= logMillis;
	}

}
