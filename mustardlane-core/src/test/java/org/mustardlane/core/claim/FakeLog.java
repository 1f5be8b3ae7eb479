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

	private final Map<StreamName, Long> firstRetained = new HashMap<>();

	private final PriorityQueue<LateAppend> lateAppends = new PriorityQueue<>(
			(one, other) -> Long.compare(one.dueMillis(), other.dueMillis()));

	/**
	 * The fault of an append.
	 */
	public enum Fault {

		NONE, REJECTED, LOST_ANSWER, LATE_EFFECT, NO_EFFECT

	}

	/**
	 * Appends records with a fault.
	 */
	public LogAppendEnded append(AppendLog append, Fault fault, long nowMillis, long effectMillis) {
		if (fault == Fault.NONE || fault == Fault.LOST_ANSWER) {
			long firstOffset = write(append.stream(), append.records(), nowMillis);
			return (fault == Fault.NONE) ? ended(append, AppendResult.APPENDED, firstOffset)
					: ended(append, AppendResult.UNKNOWN, -1);
		}
		if (fault == Fault.LATE_EFFECT) {
			this.lateAppends.add(new LateAppend(effectMillis, append));
		}
		return ended(append, (fault == Fault.REJECTED) ? AppendResult.REJECTED : AppendResult.UNKNOWN, -1);
	}

	private static LogAppendEnded ended(AppendLog append, AppendResult result, long firstOffset) {
		return new LogAppendEnded(append.stream(), append.appendId(), result, firstOffset);
	}

	/**
	 * Appends records without a fault.
	 */
	public long write(StreamName stream, List<RecordBody> records, long nowMillis) {
		List<LogRecord> all = records(stream);
		long firstOffset = all.size() + 1;
		for (RecordBody record : records) {
			all.add(new LogRecord(all.size() + 1, nowMillis, record.type(), record.body()));
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
		while (!this.lateAppends.isEmpty() && this.lateAppends.peek().dueMillis() <= nowMillis) {
			AppendLog late = this.lateAppends.poll().append();
			write(late.stream(), late.records(), nowMillis);
		}
	}

	/**
	 * Removes the records that were appended before a time, as log retention does.
	 */
	public void cutBefore(long timeMillis) {
		for (StreamName stream : this.streams.keySet()) {
			List<LogRecord> all = records(stream);
			int kept = (int) firstRetained(stream) - 1;
			while (kept < all.size() && all.get(kept).appendedAtMillis() < timeMillis) {
				kept++;
			}
			this.firstRetained.put(stream, kept + 1L);
		}
	}

	private long firstRetained(StreamName stream) {
		return this.firstRetained.getOrDefault(stream, 1L);
	}

	/**
	 * Reads retained records from an offset.
	 */
	public LogRecordsRead read(StreamName stream, long fromOffset, int limit) {
		List<LogRecord> all = records(stream);
		long from = Math.max(fromOffset, firstRetained(stream));
		long next = Math.min(all.size() + 1, from + limit);
		List<LogRecord> records = all.subList((int) from - 1, (int) next - 1);
		return new LogRecordsRead(stream, firstRetained(stream), next, next == all.size() + 1, records);
	}

	private record LateAppend(long dueMillis, AppendLog append) {

	}

}
