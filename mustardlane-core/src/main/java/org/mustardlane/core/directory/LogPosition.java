package org.mustardlane.core.directory;

/**
 * A position in a topic of the platform's log.
 *
 * <p>
 * Whenever the log is restored from an older copy, its epoch rises and offsets are
 * assigned again. A position in a later epoch is therefore after all positions of earlier
 * epochs, whatever their offsets.
 *
 * @param epoch number of the epoch of the log, 0 if the log states none
 * @param offset offset within the topic
 */
public record LogPosition(long epoch, long offset) implements Comparable<LogPosition> {

	/**
	 * Position before all records.
	 */
	public static final LogPosition START = new LogPosition(0, -1);

	/**
	 * Returns the position a number of records before or after this one.
	 * @param recordCount the number of records, negative to go back
	 * @return the position in the same epoch
	 */
	public LogPosition plus(long recordCount) {
		return new LogPosition(this.epoch, this.offset + recordCount);
	}

	/**
	 * Returns whether this position is after another one.
	 * @param other the other position
	 * @return true if this position is after the other one
	 */
	public boolean isAfter(LogPosition other) {
		return compareTo(other) > 0;
	}

	@Override
	public String toString() {
		return this.epoch + ":" + this.offset;
	}

	@Override
	public int compareTo(LogPosition other) {
		int byEpoch = Long.compare(this.epoch, other.epoch);
		return (byEpoch != 0) ? byEpoch : Long.compare(this.offset, other.offset);
	}

}
