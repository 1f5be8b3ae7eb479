package org.mustardlane.router.worker;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Wall clock that never goes backwards within the process.
 *
 * <p>
 * Thread-safe.
 */
public final class RouterClock {

	private final LongSupplier wallClockMillis;

	private final AtomicLong latestMillis = new AtomicLong();

	/**
	 * Creates a clock that follows the system clock.
	 */
	public RouterClock() {
		this(System::currentTimeMillis);
	}

	/**
	 * Creates a clock that follows another clock.
	 * @param wallClockMillis supplies milliseconds since 1970; may step backwards
	 */
	public RouterClock(LongSupplier wallClockMillis) {
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Returns the current time.
	 * @return milliseconds since 1970
	 */
	public long nowMillis() {
		return this.latestMillis.accumulateAndGet(this.wallClockMillis.getAsLong(), Math::max);
	}

}
