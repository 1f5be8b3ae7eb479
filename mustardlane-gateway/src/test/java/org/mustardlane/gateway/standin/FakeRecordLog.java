package org.mustardlane.gateway.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

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

	private boolean unavailable;

	private int pageSize = 500;

	/**
	 * Appends a record.
	 * @param topic the topic
	 * @param key key of the record
	 * @param body body of the record, empty to remove the key
	 */
	public synchronized void write(Topic topic, String key, Optional<byte[]> body) {
		List<KeyedRecord> topicRecords = topicRecords(topic);
		topicRecords.add(new KeyedRecord(key, topicRecords.size(), body));
	}

	/**
	 * Sets whether requests fail.
	 * @param unavailable true if requests fail
	 */
	public synchronized void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
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

	private List<KeyedRecord> topicRecords(Topic topic) {
		return this.topics.computeIfAbsent(topic, (newTopic) -> new ArrayList<>());
	}

	@Override
	public synchronized CompletionStage<SnapshotPage> readSnapshot(Topic topic, Optional<String> after) {
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
		return CompletableFuture.completedStage(new SnapshotPage(page, topicRecords(topic).size(), continueAfterKey));
	}

	@Override
	public synchronized CompletionStage<RecordBatch> read(Topic topic, long fromOffset, int waitMillis) {
		if (this.unavailable) {
			return CompletableFuture.failedStage(new RecordLogException("the log is unavailable"));
		}
		if (fromOffset < this.firstRetainedOffsets.getOrDefault(topic, 0L)) {
			return CompletableFuture.completedStage(RecordBatch.forExpiredOffset());
		}
		List<KeyedRecord> topicRecords = topicRecords(topic);
		int fromIndex = (int) Math.min(fromOffset, topicRecords.size());
		RecordBatch batch = new RecordBatch(topicRecords.subList(fromIndex, topicRecords.size()), topicRecords.size(),
				false);
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
