package org.mustardlane.core.claim;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;

/**
 * The claims, releases and stored responses of one claims stream that are still valid.
 *
 * <p>
 * The state depends only on the offsets and times of the log, so all readers that have
 * seen the records of one claim window agree on the holder of each key. A release takes
 * effect whether it is read before or after its claim. Not thread-safe.
 */
final class ClaimWindow {

	private static final int MAX_VM_NAMES = 10_000;

	private final long windowMillis;

	private final Map<String, KeyClaims> claimsByKey = new HashMap<>();

	private final FactIndex<ClaimMade> claims;

	/**
	 * Kept for two windows: a release voids a claim that is appended up to one window
	 * later, and that claim could otherwise be valid for one more window.
	 */
	private final FactIndex<ClaimReleased> releases;

	private final StoredResponses responses;

	/**
	 * Maps each VM name to one string that all its claims share, to save memory.
	 */
	private final Map<String, String> vmNames = new HashMap<>();

	private final LogCoverage coverage = new LogCoverage();

	private long logMillis;

	/**
	 * Creates an empty window that has not read any records.
	 * @param settings limits and durations
	 */
	ClaimWindow(ClaimSettings settings) {
		this.windowMillis = settings.windowMillis();
		this.claims = new FactIndex<>(settings.windowMillis());
		this.releases = new FactIndex<>(2 * settings.windowMillis());
		this.responses = new StoredResponses(settings);
	}

	/**
	 * Applies the next record. A record that was already read has no effect.
	 * @param record the record
	 * @return why the record was skipped, or empty if it was not skipped
	 */
	Optional<String> apply(LogRecord record) {
		if (record.offset() < this.coverage.nextOffset()) {
			return Optional.empty();
		}
		this.logMillis = Math.max(this.logMillis, record.appendedAtMillis());
		this.coverage.markRead(record.offset(), record.appendedAtMillis());
		try {
			return applyContent(record);
		}
		catch (IOException ex) {
			return Optional.of("corrupt record " + record.offset() + " of type " + record.type());
		}
		finally {
			dropExpired();
		}
	}

	private Optional<String> applyContent(LogRecord record) throws IOException {
		switch (record.type()) {
			case ClaimCodec.CLAIM -> addClaim(record, toLoggedFact(record, ClaimCodec.decode(record, ClaimMade.class)));
			case ClaimCodec.RELEASE ->
				addRelease(record, toLoggedFact(record, ClaimCodec.decode(record, ClaimReleased.class)));
			case ClaimCodec.COMPLETION ->
				this.responses.add(toLoggedFact(record, ClaimCodec.decode(record, ClaimCompleted.class)));
			case ClaimCodec.CHECKPOINT -> applyCheckpoint(record, ClaimCodec.decode(record, ClaimsCheckpoint.class));
			case ClaimCodec.MARKER -> {
			}
			default -> {
				return Optional.of("record " + record.offset() + " of unknown type " + record.type());
			}
		}
		return Optional.empty();
	}

	private <F extends ClaimFact> LoggedFact<F> toLoggedFact(LogRecord record, F fact) {
		return new LoggedFact<>(record.offset(), record.appendedAtMillis(), fact);
	}

	private void applyCheckpoint(LogRecord record, ClaimsCheckpoint checkpoint) {
		checkpoint.releases().forEach((release) -> addRelease(record, release));
		checkpoint.claims().forEach((claim) -> addClaim(record, claim));
		this.coverage.markCheckpoint(checkpoint.throughOffset(), record.appendedAtMillis());
	}

	private void addClaim(LogRecord record, LoggedFact<ClaimMade> decoded) {
		ClaimMade fact = decoded.fact().withVm(internVmName(decoded.fact().vm()));
		LoggedFact<ClaimMade> claim = new LoggedFact<>(decoded.offset(), decoded.appendedAtMillis(), fact);
		boolean isVoid = claim.appendedAtMillis() > fact.voidAfterMillis();
		if (isVoid || isReleased(claim) || claim.isExpired(this.windowMillis, this.logMillis)) {
			return;
		}
		KeyClaims keyClaims = this.claimsByKey.computeIfAbsent(fact.claimKey(), (key) -> new KeyClaims());
		keyClaims.removeExpired(this.windowMillis, this.logMillis);
		keyClaims.add(claim);
		keyClaims.find(fact.attemptId())
			.filter(claim::isFromSameRecord)
			.ifPresent((existing) -> this.claims.put(record, existing));
	}

	private String internVmName(String vm) {
		if (this.vmNames.size() >= MAX_VM_NAMES) {
			this.vmNames.clear();
		}
		return this.vmNames.computeIfAbsent(vm, (name) -> name);
	}

	private boolean isReleased(LoggedFact<ClaimMade> claim) {
		return this.releases.find(claim.fact().attemptId())
			.filter((release) -> !release.isExpired(this.windowMillis, claim.appendedAtMillis()))
			.isPresent();
	}

	private void addRelease(LogRecord record, LoggedFact<ClaimReleased> release) {
		String attemptId = release.fact().attemptId();
		removeClaim(release.fact().claimKey(), attemptId);
		this.claims.remove(attemptId);
		boolean isSuperseded = this.releases.find(attemptId)
			.filter((existing) -> existing.offset() > release.offset())
			.isPresent();
		if (!isSuperseded) {
			this.releases.put(record, release);
		}
	}

	private void removeClaim(String claimKey, String attemptId) {
		KeyClaims claims = this.claimsByKey.get(claimKey);
		if (claims == null) {
			return;
		}
		claims.remove(attemptId);
		if (claims.isEmpty()) {
			this.claimsByKey.remove(claimKey);
		}
	}

	private void dropExpired() {
		this.claims.dropExpired(this.logMillis, (claim) -> removeClaim(claim.claimKey(), claim.attemptId()));
		this.releases.dropExpired(this.logMillis, (release) -> {
		});
		this.responses.dropExpired(this.logMillis);
	}

	/**
	 * Returns the claim that holds a key, as determined by the offsets and times of the
	 * log.
	 * @param claimKey digested idempotency key
	 * @return the oldest valid claim, or empty if the key is free
	 */
	Optional<LoggedFact<ClaimMade>> holder(String claimKey) {
		KeyClaims claims = this.claimsByKey.get(claimKey);
		if (claims == null) {
			return Optional.empty();
		}
		claims.removeExpired(this.windowMillis, this.logMillis);
		return claims.holder();
	}

	/**
	 * Returns whether the release of an attempt has been read from the log. A released
	 * attempt can never hold the key again.
	 * @param attemptId id of the attempt that made the claim
	 * @return whether the attempt is released
	 */
	boolean isReleased(String attemptId) {
		return this.releases.find(attemptId).isPresent();
	}

	/**
	 * Returns the stored response of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 * @return the response, or empty if none is stored
	 */
	Optional<ClaimCompleted> completion(String attemptId) {
		return this.responses.find(attemptId);
	}

	/**
	 * Returns the router that made a claim.
	 * @param claimKey digested idempotency key
	 * @param attemptId id of the attempt that made the claim
	 * @return the router, or empty if no such claim is valid
	 */
	Optional<VmId> claimant(String claimKey, String attemptId) {
		return Optional.ofNullable(this.claimsByKey.get(claimKey))
			.flatMap((claims) -> claims.find(attemptId))
			.map((claim) -> new VmId(claim.fact().vm()));
	}

	/**
	 * Returns which part of the stream has been read, checkpointed or lost.
	 * @return the live coverage, which the caller may update
	 */
	LogCoverage coverage() {
		return this.coverage;
	}

	/**
	 * Returns the current time of the log.
	 * @return the latest append time of a record in milliseconds, 0 before the first
	 * record
	 */
	long logMillis() {
		return this.logMillis;
	}

	/**
	 * Returns the number of facts in memory, without stored responses.
	 * @return the number of claims and releases
	 */
	int factCount() {
		return this.claims.size() + this.releases.size();
	}

	/**
	 * Returns the append time of the oldest record that is still needed, which is the
	 * latest record of a claim or release.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if there is none
	 */
	long oldestRecordMillis() {
		return Math.min(this.claims.oldestRecordMillis(), this.releases.oldestRecordMillis());
	}

	/**
	 * Creates a checkpoint of the facts whose records log retention would remove first.
	 * @param recordedBeforeMillis include facts whose latest record was appended before
	 * this time
	 * @param maxFactsPerType maximum number of claims, and of releases
	 * @return the checkpoint
	 */
	ClaimsCheckpoint createCheckpoint(long recordedBeforeMillis, int maxFactsPerType) {
		FactIndex.OldestFacts<ClaimMade> oldestClaims = this.claims.collectOldest(recordedBeforeMillis, maxFactsPerType,
				this.logMillis);
		FactIndex.OldestFacts<ClaimReleased> oldestReleases = this.releases.collectOldest(recordedBeforeMillis,
				maxFactsPerType, this.logMillis);
		long recordedThrough = Math.min(oldestClaims.throughOffset(), oldestReleases.throughOffset());
		long throughOffset = Math.min(recordedThrough, this.coverage.nextOffset() - 1);
		return new ClaimsCheckpoint(throughOffset, oldestClaims.facts(), oldestReleases.facts());
	}

}
