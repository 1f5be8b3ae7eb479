package org.mustardlane.core.timeline;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A hybrid logical clock. Its timestamps stay close to the clock of the VM and order
 * every cause before its effects.
 *
 * <p>
 * A timestamp holds milliseconds in its upper 48 bits and a counter in its lower 16. A
 * counter overflow carries into the milliseconds, so timestamps always increase.
 * Thread-safe.
 */
public final class HybridClock {

	/**
	 * Maximum time by which a timestamp of another process may be ahead of the clock of
	 * this VM. Timestamps further ahead are ignored, so that a faulty clock does not
	 * affect other processes.
	 */
	public static final long MAX_AHEAD_MILLIS = 3_600_000;

	private static final int COUNTER_BITS = 16;

	private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

	private final AtomicLong latest = new AtomicLong();

	/**
	 * Returns the timestamp of a local event or of a message that is being sent.
	 * @param nowMillis the current time by the clock of this VM
	 * @return a timestamp greater than all timestamps that this clock has returned
	 */
	public long next(long nowMillis) {
		long localTimestamp = timestamp(nowMillis, 0);
		return this.latest.updateAndGet((last) -> Math.max(localTimestamp, last + 1));
	}

	/**
	 * Returns the timestamp of the receipt of a message.
	 * @param remote the timestamp that the message carries
	 * @param nowMillis the current time by the clock of this VM
	 * @return a timestamp greater than all timestamps that this clock has returned, and
	 * greater than the timestamp of the message unless that is too far ahead
	 */
	public long observe(long remote, long nowMillis) {
		if (millisOf(remote) > nowMillis + MAX_AHEAD_MILLIS) {
			return next(nowMillis);
		}
		long localTimestamp = timestamp(nowMillis, 0);
		return this.latest.updateAndGet((last) -> Math.max(localTimestamp, Math.max(last, remote) + 1));
	}

	/**
	 * Composes a timestamp.
	 * @param millis milliseconds since the epoch
	 * @param counter the counter, from 0 to 65,535
	 * @return the timestamp
	 */
	public static long timestamp(long millis, int counter) {
		return (millis << COUNTER_BITS) | (counter & COUNTER_MASK);
	}

	/**
	 * Returns the milliseconds of a timestamp.
	 * @param timestamp the timestamp
	 * @return milliseconds since the epoch
	 */
	public static long millisOf(long timestamp) {
		return timestamp >>> COUNTER_BITS;
	}

	/**
	 * Returns the counter of a timestamp.
	 * @param timestamp the timestamp
	 * @return the counter, from 0 to 65,535
	 */
	public static int counterOf(long timestamp) {
		return (int) (timestamp & COUNTER_MASK);
	}

}
