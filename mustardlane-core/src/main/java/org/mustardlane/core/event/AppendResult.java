package org.mustardlane.core.event;

/**
 * What became of an append.
 */
public enum AppendResult {

	/**
	 * The records are in the log.
	 */
	APPENDED,

	/**
	 * The records are not in the log and never will be.
	 */
	REJECTED,

	/**
	 * The answer was lost; the records may be in the log or appear later.
	 */
	UNKNOWN

}
