package org.mustardlane.core.catalogue;

/**
 * A row in the history of the catalogue: a change that was read from the log, with its
 * verdict.
 *
 * @param revision log offset of the change
 * @param changeId id of the change, chosen by its author
 * @param author name of the author
 * @param appendedAtMillis time of the append on the clock of the platform
 * @param verdict whether the change took effect
 * @param winnerRevision for {@code LOST_RACE} the earlier revision that the change
 * conflicts with, otherwise 0
 * @param summary one-line summary of the change
 * @param contentHash hash of the YAML that the author published
 */
public record HistoryRow(long revision, String changeId, String author, long appendedAtMillis, ChangeVerdict verdict,
		long winnerRevision, String summary, long contentHash) {

}
