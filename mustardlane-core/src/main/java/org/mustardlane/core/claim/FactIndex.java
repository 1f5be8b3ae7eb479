package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.mustardlane.core.model.log.LogRecord;

/**
 * Facts of one type, in the order of the latest records that contain them.
 *
 * <p>
 * A checkpoint is such a record too. Not thread-safe.
 *
 * @param <F> type of the facts
 */
final class FactIndex<F extends ClaimFact> {

	private final LinkedHashMap<String, Entry<F>> entries = new LinkedHashMap<>();

	private final long lifetimeMillis;

	/**
	 * Creates an empty index.
	 * @param lifetimeMillis lifetime of a fact after its first record, in milliseconds
	 */
	FactIndex(long lifetimeMillis) {
		this.lifetimeMillis = lifetimeMillis;
	}

	/**
	 * Adds a fact or moves it to the end of the order.
	 * @param record the latest record that contains the fact
	 * @param fact the fact
	 */
	void put(LogRecord record, LoggedFact<F> fact) {
		this.entries.remove(fact.fact().attemptId());
		this.entries.put(fact.fact().attemptId(), new Entry<>(record.offset(), record.appendedAtMillis(), fact));
	}

	/**
	 * Removes the fact of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 */
	void remove(String attemptId) {
		this.entries.remove(attemptId);
	}

	/**
	 * Returns the fact of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 * @return the fact, or empty if there is none
	 */
	Optional<LoggedFact<F>> find(String attemptId) {
		return Optional.ofNullable(this.entries.get(attemptId)).map(Entry::fact);
	}

	/**
	 * Removes expired facts from the start of the order.
	 * @param logMillis current time by the clock of the log, in milliseconds
	 * @param onRemove called with each removed fact
	 */
	void dropExpired(long logMillis, Consumer<F> onRemove) {
		Iterator<Entry<F>> iterator = this.entries.values().iterator();
		while (iterator.hasNext()) {
			LoggedFact<F> fact = iterator.next().fact();
			if (!fact.isExpired(this.lifetimeMillis, logMillis)) {
				return;
			}
			iterator.remove();
			onRemove.accept(fact.fact());
		}
	}

	/**
	 * Collects the facts whose records log retention would remove first.
	 * @param recordedBeforeMillis include facts whose latest record was appended before
	 * this time
	 * @param maxFacts maximum number of facts
	 * @param logMillis current time by the clock of the log, in milliseconds
	 * @return the facts that are not expired, and the offset up to which they are
	 * complete
	 */
	OldestFacts<F> collectOldest(long recordedBeforeMillis, int maxFacts, long logMillis) {
		List<LoggedFact<F>> facts = new ArrayList<>();
		for (Entry<F> entry : this.entries.values()) {
			if (facts.size() >= maxFacts || entry.recordedAtMillis() >= recordedBeforeMillis) {
				return new OldestFacts<>(facts, entry.offset() - 1);
			}
			if (!entry.fact().isExpired(this.lifetimeMillis, logMillis)) {
				facts.add(entry.fact());
			}
		}
		return new OldestFacts<>(facts, Long.MAX_VALUE);
	}

	/**
	 * Returns the append time of the oldest record that is still needed, which is the
	 * latest record of the first fact in the order.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if there is no fact
	 */
	long oldestRecordMillis() {
		Iterator<Entry<F>> iterator = this.entries.values().iterator();
		return iterator.hasNext() ? iterator.next().recordedAtMillis() : Long.MAX_VALUE;
	}

	/**
	 * Returns the number of facts.
	 * @return the number of facts
	 */
	int size() {
		return this.entries.size();
	}

	/**
	 * The facts that were recorded longest ago.
	 *
	 * @param <F> type of the facts
	 * @param facts the facts
	 * @param throughOffset all facts whose latest record is at or before this offset are
	 * included
	 */
	record OldestFacts<F extends ClaimFact>(List<LoggedFact<F>> facts, long throughOffset) {

	}

	/**
	 * A fact and the latest record that contains it.
	 *
	 * @param offset offset of the record
	 * @param recordedAtMillis append time of the record in milliseconds
	 * @param fact the fact
	 */
	private record Entry<F extends ClaimFact>(long offset, long recordedAtMillis, LoggedFact<F> fact) {

	}

}
