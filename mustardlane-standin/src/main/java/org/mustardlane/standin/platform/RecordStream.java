package org.mustardlane.standin.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * An append-only stream of records with limited retention.
 */
final class RecordStream {

	private final List<StoredRecord> records = new ArrayList<>();

	private final List<Runnable> appendListeners = new ArrayList<>();

	private long endOffset = 1;

	long append(List<NewRecord> newRecords, long nowMillis) {
		long firstOffset = this.endOffset;
		for (NewRecord record : newRecords) {
			this.records.add(new StoredRecord(this.endOffset, nowMillis, record.type(), record.body()));
			this.endOffset++;
		}
		List<Runnable> notified = List.copyOf(this.appendListeners);
		this.appendListeners.clear();
		notified.forEach(Runnable::run);
		return firstOffset;
	}

	void removeExpiredRecords(long oldestRetainedMillis) {
		int expiredCount = 0;
		while (expiredCount < this.records.size()
				&& this.records.get(expiredCount).appendedAtMillis() < oldestRetainedMillis) {
			expiredCount++;
		}
		this.records.subList(0, expiredCount).clear();
	}

	StreamPage read(long fromOffset, long maxRecords) {
		long firstRetainedOffset = this.endOffset - this.records.size();
		long start = Math.min(Math.max(fromOffset, firstRetainedOffset), this.endOffset);
		long end = Math.min(start + maxRecords, this.endOffset);
		int startIndex = (int) (start - firstRetainedOffset);
		int endIndex = (int) (end - firstRetainedOffset);
		return new StreamPage(firstRetainedOffset, end, this.endOffset,
				List.copyOf(this.records.subList(startIndex, endIndex)));
	}

	long endOffset() {
		return this.endOffset;
	}

	void addAppendListener(Runnable listener) {
		this.appendListeners.add(listener);
	}

	void removeAppendListener(Runnable listener) {
		this.appendListeners.remove(listener);
	}

	/**
	 * A record to append.
	 *
	 * @param type type of the content
	 * @param body content in Base64
	 */
	record NewRecord(String type, String body) {

	}

	/**
	 * Request body of an append.
	 *
	 * @param records the records to append, in order
	 */
	record Append(List<NewRecord> records) {

	}

	/**
	 * Response body of a read.
	 *
	 * @param firstRetainedOffset offset of the oldest retained record
	 * @param nextOffset offset at which the next read starts
	 * @param endOffset offset that the next appended record gets
	 * @param records the records from the requested offset on
	 */
	record StreamPage(long firstRetainedOffset, long nextOffset, long endOffset, List<StoredRecord> records) {

	}

}
