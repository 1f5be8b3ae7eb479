package org.mustardlane.gateway.knowledge;

import java.util.concurrent.TimeUnit;

/**
 * Monotonic clock for deadlines within the process.
 *
 * <p>
 * Thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Clock of the Java virtual machine.
	 */
	MonotonicClock SYSTEM = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

	/**
	 * Returns the current time.
	 * @return milliseconds since an origin that is fixed within the process
	 */
	long nowMillis();

}
