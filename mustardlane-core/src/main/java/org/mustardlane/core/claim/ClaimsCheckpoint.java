package org.mustardlane.core.claim;

import java.util.List;

/**
 * Copies of claims and releases, written before log retention removes their records.
 *
 * <p>
 * Every valid claim or release recorded at or before {@code throughOffset} is recorded
 * again after that offset, in this checkpoint or in another record.
 *
 * @param throughOffset last offset whose records a reader no longer needs
 * @param claims copied claims with their original offsets and times
 * @param releases copied releases with their original offsets and times
 */
record ClaimsCheckpoint(long throughOffset, List<LoggedFact<ClaimMade>> claims,
		List<LoggedFact<ClaimReleased>> releases) {

	/**
	 * Copies the lists, so that the checkpoint is immutable.
	 */
	ClaimsCheckpoint {
		claims = List.copyOf(claims);
		releases = List.copyOf(releases);
	}

}
