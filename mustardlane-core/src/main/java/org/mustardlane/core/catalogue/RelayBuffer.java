package org.mustardlane.core.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.model.log.LogRecord;

/**
 * Buffers the newest applied records without gaps, for relays to peers that lack them.
 *
 * <p>
 * Not thread-safe: guarded by the lock of {@link CatalogueHandler}.
 */
final class RelayBuffer {

	private static final int MAX_RECORDS = 512;

	private static final int MAX_BYTES = 1 << 20;

	private static final int MAX_RELAY_BYTES = 1 << 18;

	private final Deque<LogRecord> records = new ArrayDeque<>();

	private long bufferedBytes;

	void add(LogRecord record) {
		this.records.addLast(record);
		this.bufferedBytes += record.body().length;
		while (this.records.size() > MAX_RECORDS || this.bufferedBytes > MAX_BYTES) {
			this.bufferedBytes -= this.records.removeFirst().body().length;
		}
	}

	void clear() {
		this.records.clear();
		this.bufferedBytes = 0;
	}

	/**
	 * Returns the records from an offset on, up to the size limit of a relay.
	 * @param fromOffset offset of the first record
	 * @return the records, or empty if the buffer no longer holds the first of them
	 */
	Optional<List<LogRecord>> recordsFrom(long fromOffset) {
		if (this.records.isEmpty() || this.records.getFirst().offset() > fromOffset) {
			return Optional.empty();
		}
		List<LogRecord> relayRecords = new ArrayList<>();
		long relayBytes = 0;
		for (LogRecord record : this.records) {
			if (record.offset() >= fromOffset && relayBytes < MAX_RELAY_BYTES) {
				relayRecords.add(record);
				relayBytes += record.body().length;
			}
		}
		return Optional.of(relayRecords);
	}

}
