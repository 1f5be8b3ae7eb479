package org.mustardlane.gateway.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.mustardlane.gateway.knowledge.KeyedPage;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.LogRead;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.knowledge.RecordLogException;
import org.mustardlane.gateway.knowledge.Topic;

/**
 * A log in memory whose faults tests set.
 *
 * <p>
 * Thread-safe.
 */
public final class FakeRecordLog implements RecordLog {

	private final Map<Topic, List<KeyedRecord>> topics = new LinkedHashMap<>();

	private final Map<Topic, Long> firstKept = new LinkedHashMap<>();

	private boolean down;

	private int pageSize = 500;

	/**
	 * Appends a record.
	 * @param topic the topic
	 * @param key its key
	 * @param body its body, empty to remove the key
	 */
	public synchronized void write(Topic topic, String key, Optional<byte[]> body) {
		List<KeyedRecord> rows = rows(topic);
		rows.add(new KeyedRecord(key, rows.size(), body));
	}

	/**
	 * Sets whether calls fail.
	 * @param failing whether they do
	 */
	public synchronized void setDown(boolean failing) {
		this.down = failing;
	}

	/**
	 * Drops the history of a topic but for the newest record of each key.
	 * @param topic the topic
	 */
	public synchronized void compact(Topic topic) {
		this.firstKept.put(topic, (long) rows(topic).size());
	}

	/**
	 * Sets how many records a page holds.
	 * @param records the number
	 */
	public synchronized void setPageSize(int records) {
		this.pageSize = records;
	}

	private List<KeyedRecord> rows(Topic topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	@Override
	public synchronized CompletionStage<KeyedPage> newest(Topic topic, Optional<String> after) {
		if (this.down) {
			return CompletableFuture.failedStage(new RecordLogException("down"));
		}
		Map<String, KeyedRecord> newest = new LinkedHashMap<>();
		rows(topic).forEach((row) -> newest.put(row.key(), row));
		List<KeyedRecord> sorted = newest.values()
			.stream()
			.filter((row) -> row.body().isPresent())
			.filter((row) -> after.isEmpty() || row.key().compareTo(after.get()) > 0)
			.sorted((one, other) -> one.key().compareTo(other.key()))
			.toList();
		List<KeyedRecord> page = sorted.subList(0, Math.min(this.pageSize, sorted.size()));
		Optional<String> more = (page.size() < sorted.size()) ? Optional.of(page.get(page.size() - 1).key())
				: Optional.empty();
		return CompletableFuture.completedStage(new KeyedPage(page, rows(topic).size(), more));
	}

	@Override
	public synchronized CompletionStage<LogRead> read(Topic topic, long fromOffset, int waitMillis) {
		if (this.down) {
			return CompletableFuture.failedStage(new RecordLogException("down"));
		}
		if (fromOffset < this.firstKept.getOrDefault(topic, 0L)) {
			return CompletableFuture.completedStage(LogRead.ofExpired());
		}
		List<KeyedRecord> rows = rows(topic);
		int from = (int) Math.min(fromOffset, rows.size());
		LogRead read = new LogRead(rows.subList(from, rows.size()), rows.size(), false);
		if (read.records().isEmpty() && waitMillis > 0) {
			// A waiting read of an idle topic ends without records after a short time.
			return new CompletableFuture<LogRead>().completeOnTimeout(read, Math.min(waitMillis, 20),
					TimeUnit.MILLISECONDS);
		}
		return CompletableFuture.completedStage(read);
	}

	@Override
	public synchronized CompletionStage<Void> put(Topic topic, String key, byte[] body) {
		if (this.down) {
			return CompletableFuture.failedStage(new RecordLogException("down"));
		}
		write(topic, key, Optional.of(body));
		return CompletableFuture.completedStage(null);
	}

}
