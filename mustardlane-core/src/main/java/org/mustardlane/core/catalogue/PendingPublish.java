package org.mustardlane.core.catalogue;

/**
 * A change that an operator waits for.
 *
 * @param changeId names the change
 * @param author who publishes it
 * @param contentHash hash of the change as the author wrote it
 * @param parsed the change
 * @param deadlineMillis when the operator gives up
 * @param stage how far it has come
 * @param retryMillis with {@code LOST_ANSWER}: when it is appended again
 * @param ambiguous whether the answer of an append was ever lost
 */
record PendingPublish(String changeId, String author, long contentHash, ParsedChange parsed, long deadlineMillis,
		Stage stage, long retryMillis, boolean ambiguous) {

	PendingPublish at(Stage next, long nextRetryMillis) {
		return new PendingPublish(this.changeId, this.author, this.contentHash, this.parsed, this.deadlineMillis, next,
				nextRetryMillis, this.ambiguous || next == Stage.LOST_ANSWER);
	}

	PendingPublish until(long laterDeadlineMillis) {
		return new PendingPublish(this.changeId, this.author, this.contentHash, this.parsed,
				Math.max(this.deadlineMillis, laterDeadlineMillis), this.stage, this.retryMillis, this.ambiguous);
	}

	/**
	 * How far a change has come.
	 */
	enum Stage {

		/**
		 * Nothing was appended; the catalogue has not been read yet.
		 */
		CHECKING,

		/**
		 * Nothing was appended; the change does not fit the catalogue as known here, and
		 * the log is being read again to make sure.
		 */
		CONFIRMING,

		/**
		 * It is being appended.
		 */
		APPENDING,

		/**
		 * It is in the log and has not been read back yet.
		 */
		APPENDED,

		/**
		 * It may be in the log.
		 */
		LOST_ANSWER

	}

}
