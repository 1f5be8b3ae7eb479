package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;

import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * An in-memory stream of the platform's log.
 */
final class FakeLog {

	private final List<LogRecord> records = new ArrayList<>();

	private long firstRetained = 1;

	long append(List<RecordBody> bodies, long nowMillis) {
		long first = this.records.size() + 1;
		bodies.forEach((body) -> this.records
			.add(new LogRecord(this.records.size() + 1, nowMillis, body.type(), body.body())));
		return first;
	}

	long end() {
		return this.records.size() + 1;
	}

	void cutBefore(long offset) {
		this.firstRetained = Math.max(this.firstRetained, Math.min(offset, end()));
	}

	/**
	 * Returns the highest offset up to which records may be cut while a checkpoint still
	 * gives the state before it.
	 */
	long newestCheckpoint() {
		return this.records.stream()
			.filter((record) -> record.type().equals(RecordType.CHECKPOINT))
			.mapToLong(FakeLog::offsetAfter)
			.max()
			.orElse(1);
	}

	long newestChange() {
		return this.records.stream()
			.filter((record) -> record.type().equals(RecordType.CHANGE))
			.mapToLong(LogRecord::offset)
			.max()
			.orElse(0);
	}

	private static long offsetAfter(LogRecord checkpoint) {
		try {
			return RecordCodec.decodeState(checkpoint.body()).nextOffset();
		}
		catch (CorruptRecordException ex) {
			return 1;
		}
	}

	LogRecordsRead read(long from, int limit) {
		long start = Math.max(from, this.firstRetained);
		long next = Math.max(start, Math.min(end(), start + limit));
		List<LogRecord> found = (start >= end()) ? List.of() : this.records.subList((int) start - 1, (int) next - 1);
		return new LogRecordsRead(StreamName.CATALOGUE, this.firstRetained, next, next >= end(), found);
	}

}
