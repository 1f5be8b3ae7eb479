package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * Batches the records of one partition into appends.
 *
 * <p>
 * A claim is appended again only if the log has rejected it. Releases and completions are
 * appended until they are read back, since a duplicate of them has no effect. Not
 * thread-safe.
 */
final class ClaimAppender {

	private static final int MAX_IN_FLIGHT_APPENDS = 4;

	private static final long MAX_INTERVAL_MILLIS = 2_000;

	private static final long RETRY_MILLIS = 2_000;

	private final StreamName stream;

	private final String idPrefix;

	private final ClaimSettings settings;

	private final Map<String, ClaimMade> queuedClaims = new LinkedHashMap<>();

	private final Map<String, UnconfirmedFact> unconfirmedFacts = new LinkedHashMap<>();

	private final Map<String, List<ClaimMade>> inFlightClaims = new HashMap<>();

	private long appendCount;

	private long intervalMillis;

	private long nextAppendMillis = Long.MIN_VALUE;

	/**
	 * Creates an appender.
	 * @param stream the stream of the partition
	 * @param idPrefix prefix of the append ids, unique across routers and restarts
	 * @param settings limits and durations
	 */
	ClaimAppender(StreamName stream, String idPrefix, ClaimSettings settings) {
		this.stream = stream;
		this.idPrefix = idPrefix;
		this.settings = settings;
		this.intervalMillis = settings.appendIntervalMillis();
	}

	/**
	 * Adds a claim to the queue for the next append.
	 * @param claim the claim
	 */
	void enqueueClaim(ClaimMade claim) {
		this.queuedClaims.put(claim.attemptId(), claim);
	}

	/**
	 * Removes a claim from the queue.
	 * @param attemptId id of the attempt that made the claim
	 * @return true if the claim was still queued, so that it is certainly not in the log
	 */
	boolean dequeueClaim(String attemptId) {
		return this.queuedClaims.remove(attemptId) != null;
	}

	/**
	 * Appends a release or completion until it is read back. A release replaces a
	 * completion of the same attempt. If too many records are unconfirmed, a new one is
	 * dropped, and its claim stays valid until its window ends.
	 * @param fact the release or completion
	 * @param nowMillis current time of this VM in milliseconds
	 */
	void appendUntilRead(ClaimFact fact, long nowMillis) {
		UnconfirmedFact existing = this.unconfirmedFacts.get(fact.attemptId());
		boolean shouldAppend = existing == null
				|| (existing.fact() instanceof ClaimCompleted && fact instanceof ClaimReleased);
		if (shouldAppend && this.unconfirmedFacts.size() < this.settings.maxPendingClaims()) {
			this.unconfirmedFacts.put(fact.attemptId(), new UnconfirmedFact(fact, nowMillis));
		}
	}

	/**
	 * Returns whether the release of an attempt has not been read back yet.
	 * @param attemptId id of the attempt that made the claim
	 * @return whether an unconfirmed release exists
	 */
	boolean hasUnconfirmedRelease(String attemptId) {
		UnconfirmedFact unconfirmed = this.unconfirmedFacts.get(attemptId);
		return unconfirmed != null && unconfirmed.fact() instanceof ClaimReleased;
	}

	/**
	 * Stops appending the releases and completions that have been read back.
	 * @param window the state read from the stream
	 */
	void removeConfirmed(ClaimWindow window) {
		this.unconfirmedFacts.values().removeIf((unconfirmed) -> isInLog(unconfirmed.fact(), window));
	}

	private static boolean isInLog(ClaimFact fact, ClaimWindow window) {
		boolean released = window.isReleased(fact.attemptId());
		return released || (fact instanceof ClaimCompleted && window.completion(fact.attemptId()).isPresent());
	}

	/**
	 * Returns whether no record is queued for an append or waits to be read back.
	 * @return whether the appender may be discarded
	 */
	boolean isIdle() {
		return this.queuedClaims.isEmpty() && this.unconfirmedFacts.isEmpty();
	}

	/**
	 * Creates an append of the records that are due, unless the append interval has not
	 * passed or too many appends are in flight.
	 * @param nowMillis current time of this VM in milliseconds
	 * @return the append, or empty if nothing is to be appended now
	 */
	Optional<AppendLog> flush(long nowMillis) {
		if (nowMillis < this.nextAppendMillis || this.inFlightClaims.size() >= MAX_IN_FLIGHT_APPENDS) {
			return Optional.empty();
		}
		List<RecordBody> records = new ArrayList<>();
		addDueFacts(records, nowMillis);
		List<ClaimMade> claims = dequeueClaims(records);
		if (records.isEmpty()) {
			return Optional.empty();
		}
		this.nextAppendMillis = nowMillis + this.intervalMillis;
		AppendLog append = createAppend(records);
		this.inFlightClaims.put(append.appendId(), claims);
		return Optional.of(append);
	}

	/**
	 * Creates an append with the next append id. The caller tracks the append if it needs
	 * the result.
	 * @param records the records
	 * @return the append
	 */
	AppendLog createAppend(List<RecordBody> records) {
		this.appendCount++;
		return new AppendLog(this.stream, this.idPrefix + this.appendCount, records);
	}

	private void addDueFacts(List<RecordBody> records, long nowMillis) {
		for (Map.Entry<String, UnconfirmedFact> entry : this.unconfirmedFacts.entrySet()) {
			if (records.size() >= this.settings.maxBatchRecords()) {
				return;
			}
			UnconfirmedFact unconfirmed = entry.getValue();
			if (unconfirmed.nextAppendMillis() <= nowMillis) {
				records.add(ClaimCodec.encode(unconfirmed.fact()));
				entry.setValue(new UnconfirmedFact(unconfirmed.fact(), nowMillis + RETRY_MILLIS));
			}
		}
	}

	private List<ClaimMade> dequeueClaims(List<RecordBody> records) {
		List<ClaimMade> claims = new ArrayList<>();
		Iterator<ClaimMade> queued = this.queuedClaims.values().iterator();
		while (queued.hasNext() && records.size() < this.settings.maxBatchRecords()) {
			ClaimMade claim = queued.next();
			claims.add(claim);
			records.add(ClaimCodec.encode(claim));
			queued.remove();
		}
		return claims;
	}

	/**
	 * Handles the result of an append: a failure doubles the interval between appends,
	 * and the claims of a rejected append are queued again.
	 * @param event the result
	 * @param pendingAttempts ids of the attempts that still wait for a reply
	 * @param nowMillis current time of this VM in milliseconds
	 */
	void handleAppendResult(LogAppendEnded event, Set<String> pendingAttempts, long nowMillis) {
		List<ClaimMade> claims = this.inFlightClaims.remove(event.appendId());
		if (claims == null) {
			return;
		}
		if (event.result() == AppendResult.APPENDED) {
			this.intervalMillis = this.settings.appendIntervalMillis();
			this.nextAppendMillis = Math.min(this.nextAppendMillis, nowMillis + this.intervalMillis);
			return;
		}
		this.intervalMillis = Math.min(2 * this.intervalMillis, MAX_INTERVAL_MILLIS);
		this.nextAppendMillis = nowMillis + this.intervalMillis;
		if (event.result() == AppendResult.REJECTED) {
			requeue(claims, pendingAttempts);
		}
	}

	private void requeue(List<ClaimMade> claims, Set<String> pendingAttempts) {
		claims.stream().filter((claim) -> pendingAttempts.contains(claim.attemptId())).forEach(this::enqueueClaim);
	}

	/**
	 * A release or completion that is appended until it is read back.
	 *
	 * @param fact the release or completion
	 * @param nextAppendMillis time of the next append in milliseconds
	 */
	private record UnconfirmedFact(ClaimFact fact, long nextAppendMillis) {

	}

}
