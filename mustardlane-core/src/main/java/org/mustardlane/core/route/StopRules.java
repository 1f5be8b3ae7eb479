package org.mustardlane.core.route;

/**
 * Which calls a router still takes while it stops.
 *
 * <p>
 * New connections go on coming where most routers of a failure domain stop together. A
 * call that would be cut off by the end of the process is better refused at once, while
 * another router can still serve it.
 */
public final class StopRules {

	/**
	 * Nearly all streams end within this time.
	 */
	private static final long STREAM_MILLIS = 5000;

	/**
	 * Nearly all plain calls end within this time.
	 */
	private static final long PLAIN_MILLIS = 1000;

	private StopRules() {
	}

	/**
	 * Tells whether a call is likely to end before the process does.
	 * @param route route of the call
	 * @param leftMillis time until the process ends
	 * @return whether to take it
	 */
	public static boolean takes(Route route, long leftMillis) {
		long usual = route.semantics().isStream() ? STREAM_MILLIS : PLAIN_MILLIS;
		return leftMillis >= Math.min(usual, route.timeoutMillis());
	}

}
