package org.mustardlane.core.catalogue;

/**
 * A change that an operator has submitted and that has no verdict yet.
 *
 * @param changeId id of the change
 * @param author name of the author
 * @param contentHash hash of the YAML that the author submitted
 * @param parsed the parsed change, without findings
 * @param deadlineMillis time at which the operator stops waiting
 * @param stage stage of the publish
 * @param retryAtMillis in stage {@code APPEND_UNKNOWN} the time of the next append,
 * otherwise 0
 * @param ambiguous whether the result of any append of this change was unknown, so that
 * the change may be in the log even if a later append is rejected
 */
record PendingPublish(String changeId, String author, long contentHash, ParsedChange parsed, long deadlineMillis,
		Stage stage, long retryAtMillis, boolean ambiguous) {

	PendingPublish withStage(Stage newStage, long newRetryAtMillis) {
		return new PendingPublish(this.changeId, this.author, this.contentHash, this.parsed, this.deadlineMillis,
				newStage, newRetryAtMillis, this.ambiguous || newStage == Stage.APPEND_UNKNOWN);
	}

	PendingPublish extendDeadline(long laterDeadlineMillis) {
		return new PendingPublish(this.changeId, this.author, this.contentHash, this.parsed,
				Math.max(this.deadlineMillis, laterDeadlineMillis), this.stage, this.retryAtMillis, this.ambiguous);
	}

	/**
	 * The stages of a publish.
	 */
	enum Stage {

		/**
		 * The change was not appended; it waits until the log has been read.
		 */
		CHECKING,

		/**
		 * The change was not appended; it violates reference rules in the catalogue of
		 * this router, and the log is read again to make sure that this catalogue is up
		 * to date.
		 */
		CONFIRMING,

		/**
		 * The append was started.
		 */
		APPENDING,

		/**
		 * The change is in the log but was not read from it yet.
		 */
		APPENDED,

		/**
		 * The result of the append is unknown: the change may be in the log.
		 */
		APPEND_UNKNOWN

	}

}
