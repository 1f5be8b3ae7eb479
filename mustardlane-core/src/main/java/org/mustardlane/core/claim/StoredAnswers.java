package org.mustardlane.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;

/**
 * The small answers of one partition that are kept for retries.
 *
 * <p>
 * An answer that is gone costs no safety: its claim still counts. The oldest go first.
 * Not thread-safe.
 */
final class StoredAnswers {

	private final LinkedHashMap<String, LoggedFact<ClaimCompleted>> answers = new LinkedHashMap<>();

	private final long keepMillis;

	private final long limitBytes;

	private long bytes;

	/**
	 * Creates an empty store.
	 * @param settings limits and times
	 */
	StoredAnswers(ClaimSettings settings) {
		this.keepMillis = settings.storedAnswerMillis();
		this.limitBytes = settings.storedAnswersBytes();
	}

	/**
	 * Keeps an answer; a second one of the same attempt changes nothing.
	 * @param answer the answer
	 */
	void add(LoggedFact<ClaimCompleted> answer) {
		if (this.answers.putIfAbsent(answer.fact().attemptId(), answer) == null) {
			this.bytes += answer.fact().body().length;
		}
	}

	/**
	 * Returns the answer of an attempt.
	 * @param attemptId the claim
	 * @return the answer, or empty where there is none
	 */
	Optional<ClaimCompleted> find(String attemptId) {
		return Optional.ofNullable(this.answers.get(attemptId)).map(LoggedFact::fact);
	}

	/**
	 * Drops the answers that are too old or too many.
	 * @param logMillis the time by the clock of the log
	 */
	void dropExpired(long logMillis) {
		Iterator<LoggedFact<ClaimCompleted>> oldest = this.answers.values().iterator();
		while (oldest.hasNext()) {
			LoggedFact<ClaimCompleted> answer = oldest.next();
			if (this.bytes <= this.limitBytes && !answer.isExpired(this.keepMillis, logMillis)) {
				return;
			}
			oldest.remove();
			this.bytes -= answer.fact().body().length;
		}
	}

}
