package org.mustardlane.core.catalogue;

/**
 * A change that was read from the log.
 *
 * @param revision log offset of the change
 * @param changeId names the change
 * @param author who published it
 * @param appendedAtMillis time of the append by the clock of the platform
 * @param verdict what became of it
 * @param winnerRevision with {@code LOST_RACE}: the revision that came first, else 0
 * @param summary the change in a few words
 * @param contentHash hash of the change as its author wrote it
 */
public record HistoryRow(long revision, String changeId, String author, long appendedAtMillis, ChangeVerdict verdict,
		long winnerRevision, String summary, long contentHash) {

}
