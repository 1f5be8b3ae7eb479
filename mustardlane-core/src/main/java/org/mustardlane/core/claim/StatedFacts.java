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
final class StatedFacts<F extends ClaimFact> {

	private final LinkedHashMap<String, Statement<F>> statements = new LinkedHashMap<>();

	private final long keepMillis;

	/**
	 * Creates an empty index.
	 * @param keepMillis lifetime of a fact after its first record, in milliseconds
	 */
	StatedFacts(long keepMillis) {
		this.keepMillis = keepMillis;
	}

	/**
	 * Adds a fact or moves it to the end of the order.
	 * @param record the latest record that contains the fact
	 * @param fact the fact
	 */
	void state(LogRecord record, LoggedFact<F> fact) {
		this.statements.remove(fact.fact().attemptId());
		this.statements.put(fact.fact().attemptId(), new Statement<>(record.offset(), record.appendedAtMillis(), fact));
	}

	/**
	 * Removes the fact of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 */
	void remove(String attemptId) {
		this.statements.remove(attemptId);
	}

	/**
	 * Returns the fact of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 * @return the fact, or empty if there is none
	 */
	Optional<LoggedFact<F>> find(String attemptId) {
		return Optional.ofNullable(this.statements.get(attemptId)).map(Statement::fact);
	}

	/**
	 * Removes expired facts from the start of the order.
	 * @param logMillis current time by the clock of the log, in milliseconds
	 * @param dropped called with each removed fact
	 */
	void dropExpired(long logMillis, Consumer<F> dropped) {
		Iterator<Statement<F>> oldest = this.statements.values().iterator();
		while (oldest.hasNext()) {
			LoggedFact<F> fact = oldest.next().fact();
			if (!fact.isExpired(this.keepMillis, logMillis)) {
				return;
			}
			oldest.remove();
			dropped.accept(fact.fact());
		}
	}

	/**
	 * Collects the facts whose records log retention would remove first.
	 * @param statedBeforeMillis include facts whose latest record was appended before
	 * this time
	 * @param limit maximum number of facts
	 * @param logMillis current time by the clock of the log, in milliseconds
	 * @return the facts that are not expired, and the offset up to which they are
	 * complete
	 */
	Oldest<F> oldest(long statedBeforeMillis, int limit, long logMillis) {
		List<LoggedFact<F>> facts = new ArrayList<>();
		for (Statement<F> statement : this.statements.values()) {
			if (facts.size() >= limit || statement.atMillis() >= statedBeforeMillis) {
				return new Oldest<>(facts, statement.offset() - 1);
			}
			if (!statement.fact().isExpired(this.keepMillis, logMillis)) {
				facts.add(statement.fact());
			}
		}
		return new Oldest<>(facts, Long.MAX_VALUE);
	}

	/**
	 * Returns the append time of the oldest record that a fact depends on.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if there is no fact
	 */
	long oldestMillis() {
		Iterator<Statement<F>> oldest = this.statements.values().iterator();
		return oldest.hasNext() ? oldest.next().atMillis() : Long.MAX_VALUE;
	}

	/**
	 * Returns the number of facts.
	 * @return the number
	 */
	int size() {
		return this.statements.size();
	}

	/**
	 * The facts with the oldest latest records.
	 *
	 * @param <F> type of the facts
	 * @param facts the facts
	 * @param throughOffset all facts whose latest record is at or before this offset are
	 * included
	 */
	record Oldest<F extends ClaimFact>(List<LoggedFact<F>> facts, long throughOffset) {

	}

	/**
	 * A fact and the latest record that contains it.
	 *
	 * @param offset offset of the record
	 * @param atMillis append time of the record in milliseconds
	 * @param fact the fact
	 */
	private record Statement<F extends ClaimFact>(long offset, long atMillis, LoggedFact<F> fact) {

	}

}
