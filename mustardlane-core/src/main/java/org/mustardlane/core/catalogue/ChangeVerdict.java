package org.mustardlane.core.catalogue;

/**
 * The result of a change in the log. It depends on the records of the log only, so that
 * all processes come to the same verdict.
 */
public enum ChangeVerdict {

	/**
	 * The change took effect.
	 */
	ACCEPTED,

	/**
	 * The change has no effect: it conflicts with an earlier change of the same item, or
	 * an earlier change made one of its references invalid.
	 */
	LOST_RACE

}
