package org.mustardlane.standin.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * An append-only stream of records that are kept for a limited time.
 */
final class RecordStream {

	private final List<StoredRecord> records = new ArrayList<>();

	private final List<Runnable> waiters = new ArrayList<>();

	private long endOffset = 1;

	long append(List<NewRecord> added, long nowMillis) {
		long first = this.endOffset;
		for (NewRecord record : added) {
			this.records.add(new StoredRecord(this.endOffset, nowMillis, record.type(), record.body()));
			this.endOffset++;
		}
		List<Runnable> woken = List.copyOf(this.waiters);
		this.waiters.clear();
		woken.forEach(Runnable::run);
		return first;
	}

	void expire(long oldestMillis) {
		int expired = 0;
		while (expired < this.records.size() && this.records.get(expired).appendedAtMillis() < oldestMillis) {
			expired++;
		}
		this.records.subList(0, expired).clear();
	}

	StreamPage read(long from, long limit) {
		long firstRetained = this.endOffset - this.records.size();
		long start = Math.min(Math.max(from, firstRetained), this.endOffset);
		long end = Math.min(start + limit, this.endOffset);
		int startIndex = (int) (start - firstRetained);
		int endIndex = (int) (end - firstRetained);
		return new StreamPage(firstRetained, end, this.endOffset,
				List.copyOf(this.records.subList(startIndex, endIndex)));
	}

	long endOffset() {
		return this.endOffset;
	}

	void awaitAppend(Runnable waiter) {
		this.waiters.add(waiter);
	}

	void stopWaiting(Runnable waiter) {
		this.waiters.remove(waiter);
	}

	/**
	 * A record that is to be appended.
	 *
	 * @param type what the body holds
	 * @param body the content in Base64
	 */
	record NewRecord(String type, String body) {

	}

	/**
	 * The body of an append.
	 *
	 * @param records the records
	 */
	record Append(List<NewRecord> records) {

	}

	/**
	 * The answer to a read.
	 *
	 * @param firstRetainedOffset offset of the oldest record that is kept
	 * @param nextOffset where to read on
	 * @param endOffset offset of the next append
	 * @param records the records
	 */
	record StreamPage(long firstRetainedOffset, long nextOffset, long endOffset, List<StoredRecord> records) {

	}

}
