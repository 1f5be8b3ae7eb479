package org.mustardlane.core.model.catalogue;

import java.util.List;

/**
 * The answer to an operator who published a change.
 *
 * @param verdict what became of it
 * @param revision with {@code ACCEPTED}: the revision of the catalogue with the change
 * @param winnerRevision with {@code LOST_RACE}: the revision that came first
 * @param findings with {@code REJECTED}: all that is wrong
 */
public record PublishResult(PublishVerdict verdict, long revision, long winnerRevision, List<Finding> findings) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public PublishResult {
		findings = List.copyOf(findings);
	}

}
