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

	private long checkpointedThrough;

	private long lastCheckpointMillis = NEVER;

	private long lastMissingOffset;

	private long firstReadAfterGapMillis = NEVER;

	/**
	 * Marks a record as read. Skipped offsets before the record count as missing.
	 * @param offset offset of the record
	 * @param appendedAtMillis append time of the record in milliseconds
	 */
	public void markRead(long offset, long appendedAtMillis) {
		skipTo(offset);
		this.nextOffset = offset + 1;
		if (this.firstReadAfterGapMillis == NEVER) {
			this.firstReadAfterGapMillis = appendedAtMillis;
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
			this.lastMissingOffset = firstRetainedOffset - 1;
			this.nextOffset = firstRetainedOffset;
			this.firstReadAfterGapMillis = NEVER;
		}
	}

	/**
	 * Marks a checkpoint as read.
	 * @param throughOffset every valid record up to this offset is recorded again after
	 * it
	 * @param appendedAtMillis append time of the checkpoint in milliseconds
	 */
	public void markCheckpoint(long throughOffset, long appendedAtMillis) {
		this.checkpointedThrough = Math.max(this.checkpointedThrough, throughOffset);
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
		if (this.lastMissingOffset <= this.checkpointedThrough) {
			return Long.MIN_VALUE;
		}
		if (this.firstReadAfterGapMillis == NEVER) {
			return Long.MAX_VALUE;
		}
		return this.firstReadAfterGapMillis + windowMillis;
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
	public long checkpointedThrough() {
		return this.checkpointedThrough;
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
