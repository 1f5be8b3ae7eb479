package org.mustardlane.gateway.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.RecordBatch;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.knowledge.RecordLogException;
import org.mustardlane.gateway.knowledge.SnapshotPage;
import org.mustardlane.gateway.knowledge.Topic;

/**
 * In-memory record log that tests can make unavailable and compact.
 *
 * <p>
 * Thread-safe.
 */
public final class FakeRecordLog implements RecordLog {

	private final Map<Topic, List<KeyedRecord>> topics = new LinkedHashMap<>();

	private final Map<Topic, Long> firstRetainedOffsets = new LinkedHashMap<>();

	private long epoch;

	private boolean unavailable;

	private boolean connectionsSilent;

	private Optional<Throwable> nextFailure = Optional.empty();

	private int pageSize = 500;

	/**
	 * Appends a record.
	 * @param topic the topic
	 * @param key key of the record
	 * @param body body of the record, empty to remove the key
	 */
	public synchronized void write(Topic topic, String key, Optional<byte[]> body) {
		List<KeyedRecord> topicRecords = topicRecords(topic);
		topicRecords.add(new KeyedRecord(key, new LogPosition(this.epoch, topicRecords.size()), body));
	}

	/**
	 * Sets whether requests fail.
	 * @param unavailable true if requests fail
	 */
	public synchronized void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
	}

	/**
	 * Makes all open connections silent: what is sent over them is never answered.
	 */
	public synchronized void silenceConnections() {
		this.connectionsSilent = true;
	}

	@Override
	public synchronized void dropIdleConnections() {
		this.connectionsSilent = false;
	}

	/**
	 * Makes the next read throw in place of returning a result.
	 * @param failure what is thrown
	 */
	public synchronized void throwOnNextRead(Throwable failure) {
		this.nextFailure = Optional.of(failure);
	}

	private void throwIfRequested() {
		if (this.nextFailure.isPresent()) {
			Throwable failure = this.nextFailure.get();
			this.nextFailure = Optional.empty();
			FakeRecordLog.<RuntimeException>throwUnchecked(failure);
		}
	}

	@SuppressWarnings("unchecked")
	private static <T extends Throwable> void throwUnchecked(Throwable failure) throws T {
		throw (T) failure;
	}

	/**
	 * Discards the history of a topic except for the newest record of each key.
	 * @param topic the topic
	 */
	public synchronized void compact(Topic topic) {
		this.firstRetainedOffsets.put(topic, (long) topicRecords(topic).size());
	}

	/**
	 * Sets the number of records on a page.
	 * @param recordsPerPage the number of records
	 */
	public synchronized void setPageSize(int recordsPerPage) {
		this.pageSize = recordsPerPage;
	}

	/**
	 * Restores a topic from a copy that holds its first records only. The epoch of the
	 * log rises, and the offsets after the copy are assigned again.
	 * @param topic the topic
	 * @param recordCount number of records in the copy
	 */
	public synchronized void restore(Topic topic, int recordCount) {
		this.epoch++;
		List<KeyedRecord> copy = topicRecords(topic).subList(0, recordCount)
			.stream()
			.map((logRecord) -> new KeyedRecord(logRecord.key(),
					new LogPosition(this.epoch, logRecord.position().offset()), logRecord.body()))
			.toList();
		this.topics.put(topic, new ArrayList<>(copy));
	}

	private List<KeyedRecord> topicRecords(Topic topic) {
		return this.topics.computeIfAbsent(topic, (newTopic) -> new ArrayList<>());
	}

	private LogPosition endOf(Topic topic) {
		return new LogPosition(this.epoch, topicRecords(topic).size());
	}

	@Override
	public synchronized CompletionStage<SnapshotPage> readSnapshot(Topic topic, Optional<String> after) {
		if (this.connectionsSilent) {
			return new CompletableFuture<>();
		}
		if (this.unavailable) {
			return CompletableFuture.failedStage(new RecordLogException("the log is unavailable"));
		}
		Map<String, KeyedRecord> newestByKey = new LinkedHashMap<>();
		topicRecords(topic).forEach((logRecord) -> newestByKey.put(logRecord.key(), logRecord));
		List<KeyedRecord> sorted = newestByKey.values()
			.stream()
			.filter((logRecord) -> logRecord.body().isPresent())
			.filter((logRecord) -> after.isEmpty() || logRecord.key().compareTo(after.get()) > 0)
			.sorted((left, right) -> left.key().compareTo(right.key()))
			.toList();
		List<KeyedRecord> page = sorted.subList(0, Math.min(this.pageSize, sorted.size()));
		Optional<String> continueAfterKey = (page.size() < sorted.size()) ? Optional.of(page.get(page.size() - 1).key())
				: Optional.empty();
		return CompletableFuture.completedStage(new SnapshotPage(page, endOf(topic), continueAfterKey));
	}

	@Override
	public synchronized CompletionStage<RecordBatch> read(Topic topic, long fromOffset, int waitMillis) {
		throwIfRequested();
		if (this.connectionsSilent) {
			return new CompletableFuture<>();
		}
		if (this.unavailable) {
			return CompletableFuture.failedStage(new RecordLogException("the log is unavailable"));
		}
		if (fromOffset < this.firstRetainedOffsets.getOrDefault(topic, 0L) || fromOffset > topicRecords(topic).size()) {
			return CompletableFuture.completedStage(RecordBatch.forExpiredOffset(new LogPosition(0, 0)));
		}
		List<KeyedRecord> topicRecords = topicRecords(topic);
		RecordBatch batch = new RecordBatch(topicRecords.subList((int) fromOffset, topicRecords.size()), endOf(topic),
				true, false);
		if (batch.records().isEmpty() && waitMillis > 0) {
			// A long poll of an idle topic returns without records after a short time.
			return new CompletableFuture<RecordBatch>().completeOnTimeout(batch, Math.min(waitMillis, 20),
					TimeUnit.MILLISECONDS);
		}
		return CompletableFuture.completedStage(batch);
	}

	@Override
	public synchronized CompletionStage<Void> append(Topic topic, String key, byte[] body) {
		if (this.unavailable) {
			return CompletableFuture.failedStage(new RecordLogException("the log is unavailable"));
		}
		write(topic, key, Optional.of(body));
		return CompletableFuture.completedStage(null);
	}

}
