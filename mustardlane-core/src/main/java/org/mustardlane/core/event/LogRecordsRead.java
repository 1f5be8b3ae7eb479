package org.mustardlane.core.event;

import java.util.List;

import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.StreamName;

/**
 * Records of a followed stream have been read.
 *
 * @param stream the stream
 * @param firstRetainedOffset oldest offset that the log retains
 * @param nextOffset offset after the last record that was read
 * @param endReached whether the read reached the end of the stream
 * @param records the records, in offset order
 */
public record LogRecordsRead(StreamName stream, long firstRetainedOffset, long nextOffset, boolean endReached,
		List<LogRecord> records) implements NodeEvent {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public LogRecordsRead {
		records = List.copyOf(records);
	}

}
