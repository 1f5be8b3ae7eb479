package org.mustardlane.gateway.knowledge;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Notices that the process or its VM stood still.
 *
 * <p>
 * The steady clock shows that the process was not run; it does not count the time in
 * which the VM was suspended, which only the time of day shows. Not thread-safe.
 */
public final class PauseDetector {

	/**
	 * Checks come several times a second; this is far beyond the delay of a busy VM.
	 */
	private static final int PAUSE_THRESHOLD_MILLIS = 1200;

	private final MonotonicClock monotonicClock;

	private final LongSupplier wallMillis;

	private long lastMonotonicMillis;

	private long lastWallMillis;

	/**
	 * Creates a detector.
	 * @param monotonicClock the steady clock
	 * @param wallMillis the time of day
	 */
	public PauseDetector(MonotonicClock monotonicClock, LongSupplier wallMillis) {
		this.monotonicClock = monotonicClock;
		this.wallMillis = wallMillis;
		this.lastMonotonicMillis = monotonicClock.nowMillis();
		this.lastWallMillis = wallMillis.getAsLong();
	}

	/**
	 * Compares both clocks with the last check.
	 * @return the pause, or empty where there was none
	 */
	public Optional<Pause> check() {
		Pause elapsed = new Pause(this.monotonicClock.nowMillis() - this.lastMonotonicMillis,
				this.wallMillis.getAsLong() - this.lastWallMillis);
		this.lastMonotonicMillis += elapsed.steadyMillis();
		this.lastWallMillis += elapsed.wallMillis();
		boolean stalled = elapsed.steadyMillis() > PAUSE_THRESHOLD_MILLIS;
		boolean suspended = Math.abs(elapsed.wallMillis() - elapsed.steadyMillis()) > PAUSE_THRESHOLD_MILLIS;
		return (stalled || suspended) ? Optional.of(elapsed) : Optional.empty();
	}

	/**
	 * Time between two checks.
	 *
	 * @param steadyMillis on the steady clock
	 * @param wallMillis on the time of day
	 */
	public record Pause(long steadyMillis, long wallMillis) {

	}

}
