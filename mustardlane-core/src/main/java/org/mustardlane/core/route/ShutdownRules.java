package org.mustardlane.core.route;

import java.util.OptionalLong;

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

	/**
	 * The load balancer still opens connections for so long, because it has not seen yet
	 * that the router is not ready. Other routers of the same failure domain may shut
	 * down at the same time.
	 */
	private static final long ARRIVAL_MILLIS = 2500;

	/**
	 * Time to write the response.
	 */
	private static final long RESPONSE_MARGIN_MILLIS = 100;

	private ShutdownRules() {
	}

	/**
	 * Returns whether a call is accepted because it ends before the process. While the
	 * load balancer still sends callers here, it is enough that it will probably do so.
	 * @param route the route of the call
	 * @param callTimeoutMillis how long the caller waits for a response, empty if unknown
	 * @param shutdown the time of the shutdown
	 * @param nowMillis the current time
	 * @return true if the call is accepted
	 */
	public static boolean accepts(Route route, OptionalLong callTimeoutMillis, ShutdownWindow shutdown,
			long nowMillis) {
		long remainingMillis = shutdown.deadlineMillis() - nowMillis;
		long longestMillis = Math.min(route.timeoutMillis(), callTimeoutMillis.orElse(Long.MAX_VALUE));
		if (remainingMillis >= longestMillis + RESPONSE_MARGIN_MILLIS) {
			return true;
		}
		long typicalMillis = route.semantics().isStream() ? MAX_TYPICAL_STREAM_MILLIS : MAX_TYPICAL_PLAIN_CALL_MILLIS;
		return nowMillis - shutdown.startedAtMillis() <= ARRIVAL_MILLIS
				&& remainingMillis >= Math.min(typicalMillis, longestMillis);
	}

}
