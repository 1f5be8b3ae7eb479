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
 * Appends records of the orders stream until they have taken effect.
 *
 * <p>
 * A record that stands twice in the stream has the effect of one, so a lost answer is met
 * by a second append. Not thread-safe.
 */
final class OrderOutbox {

	private static final int LIMIT = 1_000;

	private final String idPrefix;

	private final long retryMillis;

	private final Map<String, Waiting> records = new LinkedHashMap<>();

	private final Map<String, List<String>> inFlight = new LinkedHashMap<>();

	private long appendCount;

	/**
	 * Creates an empty outbox.
	 * @param idPrefix start of the names of appends, unique over routers and restarts
	 * @param retryMillis when a record is appended again
	 */
	OrderOutbox(String idPrefix, long retryMillis) {
		this.idPrefix = idPrefix;
		this.retryMillis = retryMillis;
	}

	/**
	 * Puts a record into the next append.
	 * @param name names the record; one of the same name that waits is kept
	 * @param record the record
	 * @param giveUpMillis when it is pointless
	 */
	void put(String name, OrderRecord record, long giveUpMillis) {
		if (this.records.size() < LIMIT) {
			this.records.putIfAbsent(name, new Waiting(record, giveUpMillis, Long.MIN_VALUE));
		}
	}

	/**
	 * Drops the records that are done with.
	 * @param done tells which
	 */
	void removeIf(Predicate<OrderRecord> done) {
		this.records.values().removeIf((waiting) -> done.test(waiting.record()));
	}

	/**
	 * Appends what is due.
	 * @param nowMillis the time
	 * @return the append, or empty where nothing is due
	 */
	Optional<NodeAction> flush(long nowMillis) {
		this.records.values().removeIf((waiting) -> waiting.giveUpMillis() <= nowMillis);
		List<RecordBody> bodies = new ArrayList<>();
		List<String> names = new ArrayList<>();
		this.records.forEach((name, waiting) -> {
			if (waiting.nextMillis() <= nowMillis) {
				names.add(name);
				bodies.add(OrderCodec.encode(waiting.record()));
			}
		});
		if (bodies.isEmpty()) {
			return Optional.empty();
		}
		names.forEach((name) -> this.records.computeIfPresent(name,
				(key, waiting) -> waiting.nextAt(nowMillis + this.retryMillis)));
		this.appendCount++;
		String appendId = this.idPrefix + this.appendCount;
		this.inFlight.put(appendId, names);
		return Optional.of(new AppendLog(StreamName.ORDERS, appendId, bodies));
	}

	/**
	 * Takes the result of an append: leases and issues wait until they are read back, all
	 * else that is in the log is done with.
	 * @param event the result
	 */
	void ended(LogAppendEnded event) {
		List<String> names = this.inFlight.remove(event.appendId());
		if (names == null || event.result() != AppendResult.APPENDED) {
			return;
		}
		names.forEach((name) -> this.records.computeIfPresent(name,
				(key, waiting) -> needsReading(waiting.record()) ? waiting : null));
	}

	private static boolean needsReading(OrderRecord record) {
		return record instanceof OrderRecord.Lease || record instanceof OrderRecord.Issue;
	}

	/**
	 * A record that waits.
	 *
	 * @param record the record
	 * @param giveUpMillis when it is pointless
	 * @param nextMillis when to append it
	 */
	private record Waiting(OrderRecord record, long giveUpMillis, long nextMillis) {

		private Waiting nextAt(long millis) {
			return new Waiting(this.record, this.giveUpMillis, millis);
		}

	}

}
