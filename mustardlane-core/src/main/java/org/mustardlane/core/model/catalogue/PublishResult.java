package org.mustardlane.core.model.catalogue;

import java.util.List;

/**
 * The result of publishing a catalogue change.
 *
 * @param verdict decision on the change
 * @param revision with {@code ACCEPTED}: the catalogue revision that includes the change
 * @param winnerRevision with {@code LOST_RACE}: the revision of the conflicting change
 * that was accepted first
 * @param findings with {@code REJECTED}: all errors in the change
 */
public record PublishResult(PublishVerdict verdict, long revision, long winnerRevision, List<Finding> findings) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public PublishResult {
		findings = List.copyOf(findings);
	}

}
