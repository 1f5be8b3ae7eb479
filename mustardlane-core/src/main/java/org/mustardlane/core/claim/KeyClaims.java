package org.mustardlane.core.claim;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The valid claims of one key, oldest first.
 *
 * <p>
 * Not thread-safe.
 */
final class KeyClaims {

	private List<LoggedFact<ClaimMade>> claims = List.of();

	/**
	 * Adds a claim. Only the record with the lowest offset is kept for each attempt.
	 * @param claim the claim
	 */
	void add(LoggedFact<ClaimMade> claim) {
		Optional<LoggedFact<ClaimMade>> existing = find(claim.fact().attemptId());
		if (existing.isPresent() && existing.get().offset() <= claim.offset()) {
			return;
		}
		remove(claim.fact().attemptId());
		if (this.claims.isEmpty()) {
			this.claims = List.of(claim);
			return;
		}
		this.claims = Stream.concat(this.claims.stream(), Stream.of(claim))
			.sorted(Comparator.comparingLong(LoggedFact::offset))
			.toList();
	}

	/**
	 * Removes the claim of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 */
	void remove(String attemptId) {
		retainIf((claim) -> !claim.fact().attemptId().equals(attemptId));
	}

	/**
	 * Removes the claims whose window has passed.
	 * @param windowMillis how long a claim is valid, in milliseconds
	 * @param logMillis current time by the clock of the log, in milliseconds
	 */
	void removeExpired(long windowMillis, long logMillis) {
		retainIf((claim) -> !claim.isExpired(windowMillis, logMillis));
	}

	private void retainIf(Predicate<LoggedFact<ClaimMade>> predicate) {
		if (!this.claims.stream().allMatch(predicate)) {
			this.claims = this.claims.stream().filter(predicate).toList();
		}
	}

	/**
	 * Returns the claim of an attempt.
	 * @param attemptId id of the attempt that made the claim
	 * @return the claim, or empty if there is no valid claim
	 */
	Optional<LoggedFact<ClaimMade>> find(String attemptId) {
		return this.claims.stream().filter((claim) -> claim.fact().attemptId().equals(attemptId)).findFirst();
	}

	/**
	 * Returns the claim that holds the key.
	 * @return the oldest valid claim, or empty if the key is free
	 */
	Optional<LoggedFact<ClaimMade>> holder() {
		return this.claims.stream().findFirst();
	}

	/**
	 * Returns whether there is no valid claim.
	 * @return whether the key is free
	 */
	boolean isEmpty() {
		return this.claims.isEmpty();
	}

}
