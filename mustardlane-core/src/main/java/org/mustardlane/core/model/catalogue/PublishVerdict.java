package org.mustardlane.core.model.catalogue;

/**
 * Decision on a catalogue change.
 */
public enum PublishVerdict {

	/**
	 * The change is in the catalogue.
	 */
	ACCEPTED,

	/**
	 * The change is invalid.
	 */
	REJECTED,

	/**
	 * Another change of the same entry was accepted first.
	 */
	LOST_RACE,

	/**
	 * The log cannot be reached; the change has not been appended.
	 */
	UNAVAILABLE,

	/**
	 * It is unknown whether the change is in the log.
	 */
	UNKNOWN

}
