package org.mustardlane.core.claim;

import java.util.List;

/**
 * Claims and releases carried forward before retention cuts the records that stated them.
 *
 * <p>
 * Promises that each fact that counts and was stated at or before an offset is stated
 * again after it, here or in another record.
 *
 * @param throughOffset the offset
 * @param claims claims
 * @param releases releases
 */
record ClaimsCheckpoint(long throughOffset, List<LoggedFact<ClaimMade>> claims,
		List<LoggedFact<ClaimReleased>> releases) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	ClaimsCheckpoint {
		claims = List.copyOf(claims);
		releases = List.copyOf(releases);
	}

}
