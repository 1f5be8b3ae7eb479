package org.mustardlane.core.catalogue;

/**
 * What became of a change in the log; alike in every process.
 */
public enum ChangeVerdict {

	/**
	 * The change is in the catalogue.
	 */
	ACCEPTED,

	/**
	 * Another change of the same item came first, so the change has no effect.
	 */
	LOST_RACE

}
