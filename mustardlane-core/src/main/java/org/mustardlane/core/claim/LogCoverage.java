package org.mustardlane.core.claim;

/**
 * Which part of a stream a reader knows: read, carried forward by a checkpoint, or cut by
 * retention before it was read.
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
	 * Notes that a record has been read.
	 * @param offset its offset
	 * @param appendedAtMillis its time
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
	 * Notes that records before an offset are gone from the log.
	 * @param firstRetainedOffset oldest offset that the log still holds
	 */
	public void skipTo(long firstRetainedOffset) {
		if (firstRetainedOffset > this.nextOffset) {
			this.missingThrough = firstRetainedOffset - 1;
			this.nextOffset = firstRetainedOffset;
			this.afterMissingMillis = NEVER;
		}
	}

	/**
	 * Notes a checkpoint.
	 * @param throughOffset all that counts up to this offset was stated again after it
	 * @param appendedAtMillis time of the checkpoint
	 */
	public void carried(long throughOffset, long appendedAtMillis) {
		this.carriedThrough = Math.max(this.carriedThrough, throughOffset);
		this.lastCheckpointMillis = appendedAtMillis;
	}

	/**
	 * Returns until when claims may count that this reader does not know.
	 * @param windowMillis how long a claim counts
	 * @return the time by the clock of the log; the smallest long without such claims,
	 * the largest where the log shows no time yet
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
	 * Returns the offset of the next record.
	 * @return the offset after the last record that was read or is gone
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the highest offset of a checkpoint.
	 * @return the offset, 0 without a checkpoint
	 */
	public long carriedThrough() {
		return this.carriedThrough;
	}

	/**
	 * Returns when the history was last carried forward.
	 * @return the time of the last checkpoint or of the first record, the smallest long
	 * without one
	 */
	public long lastCheckpointMillis() {
		return this.lastCheckpointMillis;
	}

}
