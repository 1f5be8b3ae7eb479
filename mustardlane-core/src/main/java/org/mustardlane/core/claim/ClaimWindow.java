package org.mustardlane.core.claim;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;

/**
 * What the records of one claims stream say about the claims that still count.
 *
 * <p>
 * A pure fold: every reader that has seen the facts of one window comes to the same
 * holder of each key, because the offsets and times of the log alone decide. A release
 * counts whether it is read before or after its claim. Not thread-safe.
 */
final class ClaimWindow {

	private final long windowMillis;

	private final Map<String, KeyClaims> keys = new HashMap<>();

	private final Map<String, LoggedFact<ClaimReleased>> releases = new HashMap<>();

	private final StoredAnswers answers;

	/**
	 * Claims and releases, in the order of the records that stated them last.
	 */
	private final LinkedHashMap<String, Statement> statements = new LinkedHashMap<>();

	private final LogCoverage coverage = new LogCoverage();

	private long logMillis;

	/**
	 * Creates an empty window before the first record.
	 * @param settings limits and times
	 */
	ClaimWindow(ClaimSettings settings) {
		this.windowMillis = settings.windowMillis();
		this.answers = new StoredAnswers(settings);
	}

	/**
	 * Takes the next record.
	 * @param record the record; one that was taken already changes nothing
	 * @return why the record was skipped, or empty where it was not
	 */
	Optional<String> fold(LogRecord record) {
		if (record.offset() < this.coverage.nextOffset()) {
			return Optional.empty();
		}
		this.logMillis = Math.max(this.logMillis, record.appendedAtMillis());
		this.coverage.read(record.offset(), record.appendedAtMillis());
		try {
			return apply(record);
		}
		catch (IOException ex) {
			return Optional.of("corrupt record " + record.offset() + " of type " + record.type());
		}
		finally {
			dropExpired();
			this.answers.dropExpired(this.logMillis);
		}
	}

	private Optional<String> apply(LogRecord record) throws IOException {
		switch (record.type()) {
			case ClaimCodec.CLAIM -> claim(record, stated(record, ClaimCodec.decode(record, ClaimMade.class)));
			case ClaimCodec.RELEASE -> release(record, stated(record, ClaimCodec.decode(record, ClaimReleased.class)));
			case ClaimCodec.COMPLETION ->
				this.answers.add(stated(record, ClaimCodec.decode(record, ClaimCompleted.class)));
			case ClaimCodec.CHECKPOINT -> restate(record, ClaimCodec.decode(record, ClaimsCheckpoint.class));
			case ClaimCodec.MARKER -> {
			}
			default -> {
				return Optional.of("record " + record.offset() + " of unknown type " + record.type());
			}
		}
		return Optional.empty();
	}

	private <F extends ClaimFact> LoggedFact<F> stated(LogRecord record, F fact) {
		return new LoggedFact<>(record.offset(), record.appendedAtMillis(), fact);
	}

	private void restate(LogRecord record, ClaimsCheckpoint checkpoint) {
		checkpoint.releases().forEach((release) -> release(record, release));
		checkpoint.claims().forEach((claim) -> claim(record, claim));
		this.coverage.carried(checkpoint.throughOffset(), record.appendedAtMillis());
	}

	private void claim(LogRecord record, LoggedFact<ClaimMade> claim) {
		ClaimMade fact = claim.fact();
		boolean late = claim.appendedAtMillis() > fact.voidAfterMillis();
		if (late || this.releases.containsKey(fact.attemptId()) || claim.isExpired(this.windowMillis, this.logMillis)) {
			return;
		}
		KeyClaims claims = this.keys.computeIfAbsent(fact.claimKey(), (key) -> new KeyClaims());
		claims.removeExpired(this.windowMillis, this.logMillis);
		claims.add(claim);
		claims.of(fact.attemptId()).ifPresent((oldest) -> state(record, oldest));
	}

	private void release(LogRecord record, LoggedFact<ClaimReleased> release) {
		String attemptId = release.fact().attemptId();
		removeClaim(release.fact().claimKey(), attemptId);
		this.statements.remove(name(ClaimMade.class, attemptId));
		this.releases.putIfAbsent(attemptId, release);
		state(record, this.releases.get(attemptId));
	}

	private void removeClaim(String claimKey, String attemptId) {
		KeyClaims claims = this.keys.get(claimKey);
		if (claims == null) {
			return;
		}
		claims.remove(attemptId);
		if (claims.isEmpty()) {
			this.keys.remove(claimKey);
		}
	}

	private void state(LogRecord record, LoggedFact<?> fact) {
		String name = name(fact.fact().getClass(), fact.fact().attemptId());
		this.statements.remove(name);
		this.statements.put(name, new Statement(record.offset(), record.appendedAtMillis(), fact));
	}

	private static String name(Class<? extends ClaimFact> kind, String attemptId) {
		return kind.getSimpleName() + attemptId;
	}

	private void dropExpired() {
		Iterator<Statement> oldest = this.statements.values().iterator();
		while (oldest.hasNext()) {
			LoggedFact<?> fact = oldest.next().fact();
			if (!fact.isExpired(this.windowMillis, this.logMillis)) {
				return;
			}
			oldest.remove();
			forget(fact.fact());
		}
	}

	private void forget(ClaimFact fact) {
		if (fact instanceof ClaimMade) {
			removeClaim(fact.claimKey(), fact.attemptId());
		}
		else {
			this.releases.remove(fact.attemptId());
		}
	}

	/**
	 * Returns the claim that holds a key.
	 * @param claimKey the key
	 * @param nowMillis the time; a claim that does not count any more holds nothing
	 * @return the oldest claim that counts
	 */
	Optional<LoggedFact<ClaimMade>> holder(String claimKey, long nowMillis) {
		KeyClaims claims = this.keys.get(claimKey);
		if (claims == null) {
			return Optional.empty();
		}
		return claims.first().filter((claim) -> !claim.isExpired(this.windowMillis, nowMillis));
	}

	/**
	 * Returns whether the log holds the release of an attempt.
	 * @param attemptId the claim
	 * @return whether the claim is dead for good
	 */
	boolean isReleased(String attemptId) {
		return this.releases.containsKey(attemptId);
	}

	/**
	 * Returns the kept answer of an attempt.
	 * @param attemptId the claim
	 * @return the answer, or empty where there is none
	 */
	Optional<ClaimCompleted> completion(String attemptId) {
		return this.answers.find(attemptId);
	}

	/**
	 * Returns the router whose claim an attempt is.
	 * @param claimKey the key
	 * @param attemptId the claim
	 * @return the router, or empty where the claim does not count
	 */
	Optional<VmId> claimant(String claimKey, String attemptId) {
		return Optional.ofNullable(this.keys.get(claimKey))
			.flatMap((claims) -> claims.of(attemptId))
			.map((claim) -> new VmId(claim.fact().vm()));
	}

	/**
	 * Returns what is known of the history.
	 * @return offsets that were read, carried forward or lost
	 */
	LogCoverage coverage() {
		return this.coverage;
	}

	/**
	 * Returns the number of facts in memory.
	 * @return claims and releases
	 */
	int size() {
		return this.statements.size();
	}

	/**
	 * Returns when the oldest statement was appended.
	 * @return the time, or the largest long where there is none
	 */
	long oldestStatementMillis() {
		Iterator<Statement> oldest = this.statements.values().iterator();
		return oldest.hasNext() ? oldest.next().statedAtMillis() : Long.MAX_VALUE;
	}

	/**
	 * Gathers the facts that retention would cut first.
	 * @param statedBeforeMillis take facts that were last stated before this time
	 * @param limit most facts
	 * @return a checkpoint of these facts
	 */
	ClaimsCheckpoint checkpoint(long statedBeforeMillis, int limit) {
		CheckpointParts parts = new CheckpointParts();
		long through = this.coverage.nextOffset() - 1;
		for (Statement statement : this.statements.values()) {
			if (parts.size() >= limit || statement.statedAtMillis() >= statedBeforeMillis) {
				through = statement.statedOffset() - 1;
				break;
			}
			if (!statement.fact().isExpired(this.windowMillis, this.logMillis)) {
				parts.add(statement.fact());
			}
		}
		return parts.through(through);
	}

	/**
	 * A fact and the record that stated it last.
	 *
	 * @param statedOffset offset of the record
	 * @param statedAtMillis time of the record
	 * @param fact the fact
	 */
	private record Statement(long statedOffset, long statedAtMillis, LoggedFact<?> fact) {

	}

	/**
	 * Sorts facts by their kind.
	 */
	private static final class CheckpointParts {

		private final List<LoggedFact<ClaimMade>> claims = new ArrayList<>();

		private final List<LoggedFact<ClaimReleased>> releases = new ArrayList<>();

		private int size() {
			return this.claims.size() + this.releases.size();
		}

		private void add(LoggedFact<?> fact) {
			if (fact.fact() instanceof ClaimMade claim) {
				this.claims.add(new LoggedFact<>(fact.offset(), fact.appendedAtMillis(), claim));
			}
			else if (fact.fact() instanceof ClaimReleased release) {
				this.releases.add(new LoggedFact<>(fact.offset(), fact.appendedAtMillis(), release));
			}
		}

		private ClaimsCheckpoint through(long offset) {
			return new ClaimsCheckpoint(offset, this.claims, this.releases);
		}

	}

}
