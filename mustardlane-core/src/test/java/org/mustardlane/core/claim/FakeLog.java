package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * An in-memory log that can inject the append faults of the platform.
 */
public final class FakeLog {

	private final Map<StreamName, List<LogRecord>> streams = new HashMap<>();

	private final Map<StreamName, Long> firstRetainedOffsets = new HashMap<>();

	private final PriorityQueue<DelayedAppend> delayedAppends = new PriorityQueue<>(
			(left, right) -> Long.compare(left.dueMillis(), right.dueMillis()));

	/**
	 * The fault of an append.
	 */
	public enum Fault {

		NONE, REJECTED, LOST_REPLY, DELAYED, LOST_REQUEST

	}

	/**
	 * Appends records with a fault.
	 */
	public LogAppendEnded append(AppendLog append, Fault fault, long nowMillis, long appendAtMillis) {
		if (fault == Fault.NONE || fault == Fault.LOST_REPLY) {
			long firstOffset = write(append.stream(), append.records(), nowMillis);
			return (fault == Fault.NONE) ? createEvent(append, AppendResult.APPENDED, firstOffset)
					: createEvent(append, AppendResult.UNKNOWN, -1);
		}
		if (fault == Fault.DELAYED) {
			this.delayedAppends.add(new DelayedAppend(appendAtMillis, append));
		}
		return createEvent(append, (fault == Fault.REJECTED) ? AppendResult.REJECTED : AppendResult.UNKNOWN, -1);
	}

	private static LogAppendEnded createEvent(AppendLog append, AppendResult result, long firstOffset) {
		return new LogAppendEnded(append.stream(), append.appendId(), result, firstOffset);
	}

	/**
	 * Appends records without a fault.
	 */
	public long write(StreamName stream, List<RecordBody> records, long nowMillis) {
		List<LogRecord> streamRecords = records(stream);
		long firstOffset = streamRecords.size() + 1;
		for (RecordBody record : records) {
			streamRecords.add(new LogRecord(streamRecords.size() + 1, nowMillis, record.type(), record.body()));
		}
		return firstOffset;
	}

	/**
	 * Returns all records of a stream, including those that retention has removed.
	 */
	public List<LogRecord> records(StreamName stream) {
		return this.streams.computeIfAbsent(stream, (name) -> new ArrayList<>());
	}

	/**
	 * Writes the delayed appends that are due.
	 */
	public void advance(long nowMillis) {
		while (!this.delayedAppends.isEmpty() && this.delayedAppends.peek().dueMillis() <= nowMillis) {
			AppendLog append = this.delayedAppends.poll().append();
			write(append.stream(), append.records(), nowMillis);
		}
	}

	/**
	 * Removes the records that were appended before a time, as log retention does.
	 */
	public void removeBefore(long timeMillis) {
		for (StreamName stream : this.streams.keySet()) {
			List<LogRecord> streamRecords = records(stream);
			int firstKeptIndex = (int) firstRetainedOffset(stream) - 1;
			while (firstKeptIndex < streamRecords.size()
					&& streamRecords.get(firstKeptIndex).appendedAtMillis() < timeMillis) {
				firstKeptIndex++;
			}
			this.firstRetainedOffsets.put(stream, firstKeptIndex + 1L);
		}
	}

	private long firstRetainedOffset(StreamName stream) {
		return this.firstRetainedOffsets.getOrDefault(stream, 1L);
	}

	/**
	 * Reads retained records from an offset.
	 */
	public LogRecordsRead read(StreamName stream, long fromOffset, int limit) {
		List<LogRecord> streamRecords = records(stream);
		long firstOffset = Math.max(fromOffset, firstRetainedOffset(stream));
		long nextOffset = Math.min(streamRecords.size() + 1, firstOffset + limit);
		List<LogRecord> records = streamRecords.subList((int) firstOffset - 1, (int) nextOffset - 1);
		return new LogRecordsRead(stream, firstRetainedOffset(stream), nextOffset,
				nextOffset == streamRecords.size() + 1, records);
	}

	private record DelayedAppend(long dueMillis, AppendLog append) {

	}

}
