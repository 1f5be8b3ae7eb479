package org.mustardlane.gateway.knowledge;

import java.util.List;

import org.mustardlane.core.directory.LogPosition;

/**
 * Records that one read of a topic returned.
 *
 * @param records records in the order of the log
 * @param next position to continue reading from; of an expired offset, that of the first
 * record that the log retains
 * @param endReached whether these were the newest records at the time of the read
 * @param offsetExpired whether the log no longer retains the records from the requested
 * offset on
 */
public record RecordBatch(List<KeyedRecord> records, LogPosition next, boolean endReached, boolean offsetExpired) {

	/**
	 * Makes an unmodifiable copy of the records.
	 */
	public RecordBatch {
		records = List.copyOf(records);
	}

	/**
	 * Creates the result of a read at an offset that the log no longer retains.
	 * @param first position of the first record that the log retains
	 * @return a result without records
	 */
	public static RecordBatch forExpiredOffset(LogPosition first) {
		return new RecordBatch(List.of(), first, false, true);
	}

}
