package org.mustardlane.gateway.knowledge;

import java.util.List;

import org.mustardlane.core.directory.LogPosition;

/**
 * Records that one read of a topic returned.
 *
 * @param records records in the order of the log
 * @param next position to continue reading from
 * @param offsetExpired whether the log no longer retains the records from the requested
 * offset on
 */
public record RecordBatch(List<KeyedRecord> records, LogPosition next, boolean offsetExpired) {

	/**
	 * Makes an unmodifiable copy of the records.
	 */
	public RecordBatch {
		records = List.copyOf(records);
	}

	/**
	 * Creates the result of a read at an offset that the log no longer retains.
	 * @return a result without records
	 */
	public static RecordBatch forExpiredOffset() {
		return new RecordBatch(List.of(), LogPosition.START, true);
	}

}
