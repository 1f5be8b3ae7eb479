package org.mustardlane.gateway.knowledge;

import java.util.concurrent.TimeUnit;

/**
 * Time that neither steps nor goes back, for deadlines within the process.
 *
 * <p>
 * Thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * The clock of the virtual machine.
	 */
	MonotonicClock SYSTEM = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

	/**
	 * Returns the time.
	 * @return milliseconds since a moment that is fixed within the process
	 */
	long nowMillis();

}
