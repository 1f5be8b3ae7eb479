package org.mustardlane.core.placement;

/**
 * The load that a target reported in a response.
 *
 * @param running number of requests being processed
 * @param waiting number of requests queued at the target
 * @param slots maximum number of requests processed concurrently
 * @param slownessPercent how long work takes on the VM of the target, in percent of the
 * normal time
 * @param receivedAtMillis time at which the router received the response
 */
public record LoadSample(int running, int waiting, int slots, int slownessPercent, long receivedAtMillis) {

	/**
	 * Stands for a target that has not reported its load yet.
	 */
	public static final LoadSample NONE = new LoadSample(0, 0, 0, 100, Long.MIN_VALUE / 2);

}
