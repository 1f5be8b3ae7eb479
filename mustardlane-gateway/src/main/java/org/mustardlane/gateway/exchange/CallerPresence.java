package org.mustardlane.gateway.exchange;

import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.knowledge.MonotonicClock;

/**
 * Tells whether the caller of one call is still connected at the moment when the call is
 * sent.
 *
 * <p>
 * An event loop with much to do reads a call long after it has arrived, and hears of the
 * end of its connection only when it gets to that socket again. Confined to the event
 * loop of the daemon.
 */
final class CallerPresence {

	/**
	 * A call is often sent right after its target was chosen.
	 */
	private static final int VALIDITY_MILLIS = 10;

	private final CallerChannel caller;

	private final MonotonicClock clock;

	private long validUntilMillis = Long.MIN_VALUE;

	private boolean connected;

	CallerPresence(CallerChannel caller, MonotonicClock clock) {
		this.caller = caller;
		this.clock = clock;
	}

	/**
	 * Returns whether the caller is connected. Must not be called while the caller's
	 * channel is being read.
	 * @return false if the connection has ended, which the call is notified of later
	 */
	boolean isConnected() {
		long nowMillis = this.clock.nowMillis();
		if (nowMillis >= this.validUntilMillis) {
			this.connected = this.caller.readAndCheckConnection();
			this.validUntilMillis = nowMillis + VALIDITY_MILLIS;
		}
		return this.connected;
	}

}
