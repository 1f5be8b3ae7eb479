package org.mustardlane.core.claim;

/**
 * Tracks which part of a stream a reader has read, which part checkpoints cover and which
 * part log retention removed before it was read.
 *
 * <p>
 * Not thread-safe.
 */
public final class LogCoverage {

	private static final long NEVER = Long.MIN_VALUE;

	private long nextOffset = 1;

	private long carriedThrough;

	private long lastCheckpointMillis = NEVER;

	private long missingThrough;

	private long afterMissingMillis = NEVER;

	/**
	 * Marks a record as read. Skipped offsets before the record count as missing.
	 * @param offset offset of the record
	 * @param appendedAtMillis append time of the record in milliseconds
	 */
	public void read(long offset, long appendedAtMillis) {
		skipTo(offset);
		this.nextOffset = offset + 1;
		if (this.afterMissingMillis == NEVER) {
			this.afterMissingMillis = appendedAtMillis;
		}
		if (this.lastCheckpointMillis == NEVER) {
			this.lastCheckpointMillis = appendedAtMillis;
		}
	}

	/**
	 * Marks unread records before an offset as missing.
	 * @param firstRetainedOffset lowest offset that the log still holds
	 */
	public void skipTo(long firstRetainedOffset) {
		if (firstRetainedOffset > this.nextOffset) {
			this.missingThrough = firstRetainedOffset - 1;
			this.nextOffset = firstRetainedOffset;
			this.afterMissingMillis = NEVER;
		}
	}

	/**
	 * Marks a checkpoint as read.
	 * @param throughOffset every valid record up to this offset is recorded again after
	 * it
	 * @param appendedAtMillis append time of the checkpoint in milliseconds
	 */
	public void carried(long throughOffset, long appendedAtMillis) {
		this.carriedThrough = Math.max(this.carriedThrough, throughOffset);
		this.lastCheckpointMillis = appendedAtMillis;
	}

	/**
	 * Returns the time after which no claim in a missing record can still be valid.
	 * @param windowMillis how long a claim is valid, in milliseconds
	 * @return the time by the clock of the log; {@link Long#MIN_VALUE} if checkpoints
	 * cover all missing records, {@link Long#MAX_VALUE} if no record after the gap has
	 * been read yet
	 */
	public long gapEndMillis(long windowMillis) {
		if (this.missingThrough <= this.carriedThrough) {
			return Long.MIN_VALUE;
		}
		if (this.afterMissingMillis == NEVER) {
			return Long.MAX_VALUE;
		}
		return this.afterMissingMillis + windowMillis;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return the offset after the last record that was read or is missing
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the highest offset that a checkpoint covers.
	 * @return the offset, 0 without a checkpoint
	 */
	public long carriedThrough() {
		return this.carriedThrough;
	}

	/**
	 * Returns the append time of the last checkpoint, or of the first record read if no
	 * checkpoint has been read.
	 * @return the time in milliseconds, or {@link Long#MIN_VALUE} if no record has been
	 * read
	 */
	public long lastCheckpointMillis() {
		return this.lastCheckpointMillis;
	}

}
