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
final class StoredResponses {

	private final LinkedHashMap<String, LoggedFact<ClaimCompleted>> responses = new LinkedHashMap<>();

	private final long lifetimeMillis;

	private final long maxBytes;

	private long totalBytes;

	/**
	 * Creates an empty store.
	 * @param settings limits and durations
	 */
	StoredResponses(ClaimSettings settings) {
		this.lifetimeMillis = settings.storedResponseMillis();
		this.maxBytes = settings.maxTotalResponseBytes();
	}

	/**
	 * Stores a response unless the attempt already has one.
	 * @param response the response
	 */
	void add(LoggedFact<ClaimCompleted> response) {
		if (this.responses.putIfAbsent(response.fact().attemptId(), response) == null) {
			this.totalBytes += response.fact().body().length;
		}
	}

	/**
	 * Returns the response of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 * @return the response, or empty if none is stored
	 */
	Optional<ClaimCompleted> find(String attemptId) {
		return Optional.ofNullable(this.responses.get(attemptId)).map(LoggedFact::fact);
	}

	/**
	 * Evicts expired responses, and the oldest ones while the size limit is exceeded.
	 * @param logMillis current time by the clock of the log, in milliseconds
	 */
	void dropExpired(long logMillis) {
		Iterator<LoggedFact<ClaimCompleted>> iterator = this.responses.values().iterator();
		while (iterator.hasNext()) {
			LoggedFact<ClaimCompleted> response = iterator.next();
			if (this.totalBytes <= this.maxBytes && !response.isExpired(this.lifetimeMillis, logMillis)) {
				return;
			}
			iterator.remove();
			this.totalBytes -= response.fact().body().length;
		}
	}

}
