package org.mustardlane.core.route;

/**
 * Decides which calls a router still accepts while it shuts down.
 *
 * <p>
 * A router keeps receiving new connections during its shutdown if most routers of its
 * failure domain shut down together. A call that the end of the process would interrupt
 * is better rejected at once, while another router can still serve it. Thread-safe: all
 * methods are pure functions.
 */
public final class ShutdownRules {

	/**
	 * Nearly all streams end within this time.
	 */
	private static final long MAX_TYPICAL_STREAM_MILLIS = 5000;

	/**
	 * Nearly all plain calls end within this time.
	 */
	private static final long MAX_TYPICAL_PLAIN_CALL_MILLIS = 1000;

	private ShutdownRules() {
	}

	/**
	 * Returns whether a call is accepted because it will probably end before the process.
	 * @param route the route of the call
	 * @param remainingMillis time until the process ends
	 * @return true if the call is accepted
	 */
	public static boolean accepts(Route route, long remainingMillis) {
		long typicalMillis = route.semantics().isStream() ? MAX_TYPICAL_STREAM_MILLIS : MAX_TYPICAL_PLAIN_CALL_MILLIS;
		return remainingMillis >= Math.min(typicalMillis, route.timeoutMillis());
	}

}
