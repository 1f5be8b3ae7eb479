package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.mustardlane.core.model.log.LogRecord;

/**
 * Facts of one kind, in the order of the records that stated them last.
 *
 * <p>
 * Not thread-safe.
 *
 * @param <F> kind of fact
 */
final class StatedFacts<F extends ClaimFact> {

	private final LinkedHashMap<String, Statement<F>> statements = new LinkedHashMap<>();

	private final long keepMillis;

	/**
	 * Creates an empty table.
	 * @param keepMillis how long a fact is kept after its first statement
	 */
	StatedFacts(long keepMillis) {
		this.keepMillis = keepMillis;
	}

	/**
	 * Notes that a record states a fact.
	 * @param record the record
	 * @param fact the fact
	 */
	void state(LogRecord record, LoggedFact<F> fact) {
		this.statements.remove(fact.fact().attemptId());
		this.statements.put(fact.fact().attemptId(), new Statement<>(record.offset(), record.appendedAtMillis(), fact));
	}

	/**
	 * Removes the fact of an attempt.
	 * @param attemptId the claim
	 */
	void remove(String attemptId) {
		this.statements.remove(attemptId);
	}

	/**
	 * Returns the fact of an attempt.
	 * @param attemptId the claim
	 * @return the fact, or empty where there is none
	 */
	Optional<LoggedFact<F>> find(String attemptId) {
		return Optional.ofNullable(this.statements.get(attemptId)).map(Statement::fact);
	}

	/**
	 * Drops the facts that are too old.
	 * @param logMillis the time by the clock of the log
	 * @param dropped receives what was dropped
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
	 * Gathers the facts that retention would cut first.
	 * @param statedBeforeMillis take facts that were last stated before this time
	 * @param limit most facts
	 * @param logMillis the time by the clock of the log
	 * @return the facts
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
	 * Returns when the oldest statement was appended.
	 * @return the time, or the largest long where there is none
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
	 * Facts that were stated first.
	 *
	 * @param <F> kind of fact
	 * @param facts the facts
	 * @param throughOffset all facts that were stated at or before this offset are there
	 */
	record Oldest<F extends ClaimFact>(List<LoggedFact<F>> facts, long throughOffset) {

	}

	/**
	 * A fact and the record that stated it last.
	 *
	 * @param offset offset of the record
	 * @param atMillis time of the record
	 * @param fact the fact
	 */
	private record Statement<F extends ClaimFact>(long offset, long atMillis, LoggedFact<F> fact) {

	}

}
