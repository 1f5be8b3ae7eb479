package org.mustardlane.core.catalogue;

/**
 * What the catalogue of one router is told at its start.
 *
 * @param checkpointRecords records after which a checkpoint is due
 * @param checkpointIntervalMillis time after which a checkpoint is due; far below the
 * retention of the log
 * @param appendRetryMillis time until a change whose append answer was lost is appended
 * again
 */
public record CatalogueSettings(int checkpointRecords, long checkpointIntervalMillis, long appendRetryMillis) {

	/**
	 * The settings for a log that keeps its records for at least an hour.
	 */
	public static final CatalogueSettings DEFAULT = new CatalogueSettings(256, 300_000, 1_000);

}
