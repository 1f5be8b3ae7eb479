package org.mustardlane.core.model.catalogue;

/**
 * What became of a catalogue change.
 */
public enum PublishVerdict {

	/**
	 * The change is in the catalogue.
	 */
	ACCEPTED,

	/**
	 * The change has findings.
	 */
	REJECTED,

	/**
	 * Another change of the same entry came first.
	 */
	LOST_RACE,

	/**
	 * The log can not be reached; the change is not in it.
	 */
	UNAVAILABLE,

	/**
	 * The log can not say whether it holds the change.
	 */
	UNKNOWN

}
