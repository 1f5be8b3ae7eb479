package org.mustardlane.gateway.exchange;

/**
 * Detects that the event loop processes its sockets late, because the VM is slow or more
 * work arrives than it can do.
 *
 * <p>
 * Not thread-safe.
 */
public final class LoopLag {

	private static final int TOLERANCE_MILLIS = 100;

	/**
	 * Much of the work of a start competes with the first calls.
	 */
	private static final int START_MILLIS = 3000;

	/**
	 * Events that arrived during the lag are still being processed for a while.
	 */
	private static final int RECOVERY_MILLIS = 1000;

	private final int tickIntervalMillis;

	private long lastTickMillis;

	private long laggingUntilMillis;

	/**
	 * Creates a detector.
	 * @param tickIntervalMillis interval at which {@link #tick} is called
	 * @param nowMillis the current time, at the start of the process
	 */
	public LoopLag(int tickIntervalMillis, long nowMillis) {
		this.tickIntervalMillis = tickIntervalMillis;
		this.lastTickMillis = nowMillis;
		this.laggingUntilMillis = nowMillis + START_MILLIS;
	}

	/**
	 * Records that a periodic task runs.
	 * @param nowMillis the current time
	 */
	public void tick(long nowMillis) {
		if (isTickLate(nowMillis)) {
			this.laggingUntilMillis = Math.max(this.laggingUntilMillis, nowMillis + RECOVERY_MILLIS);
		}
		this.lastTickMillis = nowMillis;
	}

	private boolean isTickLate(long nowMillis) {
		return nowMillis - this.lastTickMillis > this.tickIntervalMillis + TOLERANCE_MILLIS;
	}

	/**
	 * Returns whether the loop lags, or has lagged shortly before.
	 * @param nowMillis the current time
	 * @return true if events may have waited for long before they are processed
	 */
	public boolean isLagging(long nowMillis) {
		return nowMillis < this.laggingUntilMillis || isTickLate(nowMillis);
	}

}
