package org.mustardlane.core.event;

/**
 * Result of an append to the log.
 */
public enum AppendResult {

	/**
	 * The records are in the log.
	 */
	APPENDED,

	/**
	 * The records are not in the log and will not appear later.
	 */
	REJECTED,

	/**
	 * The reply was lost; the records may be in the log or may appear later.
	 */
	UNKNOWN

}
