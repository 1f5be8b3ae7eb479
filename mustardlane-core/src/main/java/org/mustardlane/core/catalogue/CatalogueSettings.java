package org.mustardlane.core.catalogue;

/**
 * What the catalogue of one router is told at its start.
 *
 * @param checkpointRecords records after which a checkpoint is due
 * @param checkpointIntervalMillis time after which a checkpoint is due; far below the
 * retention of the log
 * @param appendRetryMillis time until a change whose append answer was lost is appended
 * again
 * @param referenceGraceMillis time that a change waits for the catalogue to hold what the
 * change refers to
 */
public record CatalogueSettings(int checkpointRecords, long checkpointIntervalMillis, long appendRetryMillis,
		long referenceGraceMillis) {

	/**
	 * The settings for a log that keeps its records for at least an hour.
	 */
	public static final CatalogueSettings DEFAULT = new CatalogueSettings(256, 300_000, 1_000, 1_000);

}
