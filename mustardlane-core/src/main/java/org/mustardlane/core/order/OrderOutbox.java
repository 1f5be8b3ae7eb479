package org.mustardlane.core.order;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * Appends records to the orders stream until they have taken effect.
 *
 * <p>
 * A duplicate record has no effect, so a record is appended again if the result of its
 * append was lost. Not thread-safe.
 */
final class OrderOutbox {

	private static final int MAX_RECORDS = 1_000;

	private final String idPrefix;

	private final long retryMillis;

	private final Map<String, PendingRecord> records = new LinkedHashMap<>();

	private final Map<String, List<String>> inFlightNames = new LinkedHashMap<>();

	private long appendCount;

	/**
	 * Creates an empty outbox.
	 * @param idPrefix prefix of the append ids, unique across routers and restarts
	 * @param retryMillis delay before a record is appended again, in milliseconds
	 */
	OrderOutbox(String idPrefix, long retryMillis) {
		this.idPrefix = idPrefix;
		this.retryMillis = retryMillis;
	}

	/**
	 * Queues a record for the next append, unless a record of the same name is queued or
	 * the outbox is full.
	 * @param name unique name of the record in this outbox
	 * @param record the record
	 * @param deadlineMillis time from which the record is dropped
	 */
	void put(String name, OrderRecord record, long deadlineMillis) {
		if (this.records.size() < MAX_RECORDS) {
			this.records.putIfAbsent(name, new PendingRecord(record, deadlineMillis, Long.MIN_VALUE));
		}
	}

	/**
	 * Removes the records that no longer have to be appended.
	 * @param condition returns true for a record to remove
	 */
	void removeIf(Predicate<OrderRecord> condition) {
		this.records.values().removeIf((pending) -> condition.test(pending.record()));
	}

	/**
	 * Appends the records that are due and drops those whose deadline has passed.
	 * @param nowMillis current time of this VM in milliseconds
	 * @return the append, or empty if no record is due
	 */
	Optional<NodeAction> flush(long nowMillis) {
		this.records.values().removeIf((pending) -> pending.deadlineMillis() <= nowMillis);
		List<RecordBody> bodies = new ArrayList<>();
		List<String> names = new ArrayList<>();
		this.records.forEach((name, pending) -> {
			if (pending.nextAppendMillis() <= nowMillis) {
				names.add(name);
				bodies.add(OrderCodec.encode(pending.record()));
			}
		});
		if (bodies.isEmpty()) {
			return Optional.empty();
		}
		names.forEach((name) -> this.records.computeIfPresent(name,
				(key, pending) -> pending.withNextAppend(nowMillis + this.retryMillis)));
		this.appendCount++;
		String appendId = this.idPrefix + this.appendCount;
		this.inFlightNames.put(appendId, names);
		return Optional.of(new AppendLog(StreamName.ORDERS, appendId, bodies));
	}

	/**
	 * Handles the result of an append. A lease or issue record stays queued until it has
	 * been read back; other records are removed once they are in the log.
	 * @param event the result
	 */
	void handleAppendResult(LogAppendEnded event) {
		List<String> names = this.inFlightNames.remove(event.appendId());
		if (names == null || event.result() != AppendResult.APPENDED) {
			return;
		}
		names.forEach((name) -> this.records.computeIfPresent(name,
				(key, pending) -> mustBeReadBack(pending.record()) ? pending : null));
	}

	private static boolean mustBeReadBack(OrderRecord record) {
		return record instanceof OrderRecord.Lease || record instanceof OrderRecord.Issue;
	}

	/**
	 * A queued record.
	 *
	 * @param record the record
	 * @param deadlineMillis time from which the record is dropped
	 * @param nextAppendMillis time of the next append in milliseconds
	 */
	private record PendingRecord(OrderRecord record, long deadlineMillis, long nextAppendMillis) {

		private PendingRecord withNextAppend(long newNextAppendMillis) {
			return new PendingRecord(this.record, this.deadlineMillis, newNextAppendMillis);
		}

	}

}
