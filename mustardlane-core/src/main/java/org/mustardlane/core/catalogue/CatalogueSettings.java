package org.mustardlane.core.catalogue;

/**
 * Settings of the catalogue on one router.
 *
 * @param checkpointRecords number of records after which a checkpoint is due
 * @param checkpointIntervalMillis time after which a checkpoint is due; must be far below
 * the retention time of the log, so that the newest checkpoint is not deleted before the
 * next one
 * @param appendRetryMillis delay before a change is appended again after an append with
 * unknown result
 */
public record CatalogueSettings(int checkpointRecords, long checkpointIntervalMillis, long appendRetryMillis) {

	/**
	 * Default settings, suited to a log that retains records for at least one hour.
	 */
	public static final CatalogueSettings DEFAULT = new CatalogueSettings(256, 300_000, 1_000);

}
