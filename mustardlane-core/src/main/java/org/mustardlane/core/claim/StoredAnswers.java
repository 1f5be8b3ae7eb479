package org.mustardlane.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;

/**
 * Stored responses of one partition, kept for retries of the same request.
 *
 * <p>
 * A missing response cannot cause a second execution, because the claim of the request
 * stays valid. The oldest responses are evicted first. Not thread-safe.
 */
final class StoredAnswers {

	private final LinkedHashMap<String, LoggedFact<ClaimCompleted>> answers = new LinkedHashMap<>();

	private final long keepMillis;

	private final long limitBytes;

	private long bytes;

	/**
	 * Creates an empty store.
	 * @param settings limits and durations
	 */
	StoredAnswers(ClaimSettings settings) {
		this.keepMillis = settings.storedAnswerMillis();
		this.limitBytes = settings.storedAnswersBytes();
	}

	/**
	 * Stores a response unless the attempt already has one.
	 * @param answer the response
	 */
	void add(LoggedFact<ClaimCompleted> answer) {
		if (this.answers.putIfAbsent(answer.fact().attemptId(), answer) == null) {
			this.bytes += answer.fact().body().length;
		}
	}

	/**
	 * Returns the response of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 * @return the response, or empty if none is stored
	 */
	Optional<ClaimCompleted> find(String attemptId) {
		return Optional.ofNullable(this.answers.get(attemptId)).map(LoggedFact::fact);
	}

	/**
	 * Evicts expired responses, and the oldest ones while the size limit is exceeded.
	 * @param logMillis current time by the clock of the log, in milliseconds
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
