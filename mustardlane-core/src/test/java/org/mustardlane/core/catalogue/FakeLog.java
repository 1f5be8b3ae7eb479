package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;

import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * An in-memory fake of the catalogue stream in the log of the platform.
 */
final class FakeLog {

	private final List<LogRecord> records = new ArrayList<>();

	private long firstRetainedOffset = 1;

	long append(List<RecordBody> bodies, long nowMillis) {
		long firstOffset = this.records.size() + 1;
		bodies.forEach((body) -> this.records
			.add(new LogRecord(this.records.size() + 1, nowMillis, body.type(), body.body())));
		return firstOffset;
	}

	long endOffset() {
		return this.records.size() + 1;
	}

	void deleteBefore(long offset) {
		this.firstRetainedOffset = Math.max(this.firstRetainedOffset, Math.min(offset, endOffset()));
	}

	/**
	 * Returns the next offset of the state in the newest checkpoint. The records below
	 * this offset can be deleted, since the checkpoint has a higher offset and replaces
	 * them.
	 */
	long newestCheckpointNextOffset() {
		return this.records.stream()
			.filter((record) -> record.type().equals(RecordType.CHECKPOINT))
			.mapToLong(FakeLog::nextOffsetOf)
			.max()
			.orElse(1);
	}

	long newestChangeOffset() {
		return this.records.stream()
			.filter((record) -> record.type().equals(RecordType.CHANGE))
			.mapToLong(LogRecord::offset)
			.max()
			.orElse(0);
	}

	private static long nextOffsetOf(LogRecord checkpoint) {
		try {
			return RecordCodec.decodeState(checkpoint.body()).nextOffset();
		}
		catch (CorruptRecordException ex) {
			return 1;
		}
	}

	LogRecordsRead read(long fromOffset, int maxRecords) {
		long startOffset = Math.max(fromOffset, this.firstRetainedOffset);
		long nextOffset = Math.max(startOffset, Math.min(endOffset(), startOffset + maxRecords));
		List<LogRecord> readRecords = (startOffset >= endOffset()) ? List.of()
				: this.records.subList((int) startOffset - 1, (int) nextOffset - 1);
		return new LogRecordsRead(StreamName.CATALOGUE, this.firstRetainedOffset, nextOffset, nextOffset >= endOffset(),
				readRecords);
	}

}
