package org.mustardlane.core.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.model.log.LogRecord;

/**
 * The newest records that were folded, without gaps, for peers that lack them.
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class RelayBuffer {

	private static final int LIMIT_RECORDS = 512;

	private static final int LIMIT_BYTES = 1 << 20;

	private static final int RELAY_BYTES = 1 << 18;

	private final Deque<LogRecord> records = new ArrayDeque<>();

	private long bytes;

	void add(LogRecord record) {
		this.records.addLast(record);
		this.bytes += record.body().length;
		while (this.records.size() > LIMIT_RECORDS || this.bytes > LIMIT_BYTES) {
			this.bytes -= this.records.removeFirst().body().length;
		}
	}

	void clear() {
		this.records.clear();
		this.bytes = 0;
	}

	/**
	 * Returns the records from an offset on, up to the size of one message.
	 * @param fromOffset the offset
	 * @return the records, or empty where the first of them is gone
	 */
	Optional<List<LogRecord>> from(long fromOffset) {
		if (this.records.isEmpty() || this.records.getFirst().offset() > fromOffset) {
			return Optional.empty();
		}
		List<LogRecord> found = new ArrayList<>();
		long foundBytes = 0;
		for (LogRecord record : this.records) {
			if (record.offset() >= fromOffset && foundBytes < RELAY_BYTES) {
				found.add(record);
				foundBytes += record.body().length;
			}
		}
		return Optional.of(found);
	}

}
