package org.mustardlane.core.placement;

/**
 * A load that a target stated in an answer.
 *
 * @param running requests that it ran
 * @param waiting requests that waited there
 * @param slots requests that it runs at once
 * @param slownessPercent how long work takes on its VM, 100 as usual
 * @param seenAtMillis when the answer arrived
 */
public record LoadSample(int running, int waiting, int slots, int slownessPercent, long seenAtMillis) {

	/**
	 * No load was stated yet.
	 */
	public static final LoadSample NONE = new LoadSample(0, 0, 0, 100, Long.MIN_VALUE / 2);

}
