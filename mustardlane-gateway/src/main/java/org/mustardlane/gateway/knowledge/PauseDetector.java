package org.mustardlane.gateway.knowledge;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Detects that the process or its VM was paused.
 *
 * <p>
 * The monotonic clock shows that the process was not scheduled, but it does not count
 * time during which the VM was suspended; only the wall clock shows that. Not
 * thread-safe.
 */
public final class PauseDetector {

	/**
	 * Checks run several times a second, so this is far above the delays on a busy VM.
	 */
	private static final int PAUSE_THRESHOLD_MILLIS = 1200;

	private final MonotonicClock monotonicClock;

	private final LongSupplier wallMillis;

	private long lastMonotonicMillis;

	private long lastWallMillis;

	/**
	 * Creates a detector.
	 * @param monotonicClock monotonic clock
	 * @param wallMillis supplies the wall clock time in milliseconds
	 */
	public PauseDetector(MonotonicClock monotonicClock, LongSupplier wallMillis) {
		this.monotonicClock = monotonicClock;
		this.wallMillis = wallMillis;
		this.lastMonotonicMillis = monotonicClock.nowMillis();
		this.lastWallMillis = wallMillis.getAsLong();
	}

	/**
	 * Compares the time elapsed on both clocks since the last check.
	 * @return the pause, or empty if there was none
	 */
	public Optional<Pause> check() {
		Pause elapsed = new Pause(this.monotonicClock.nowMillis() - this.lastMonotonicMillis,
				this.wallMillis.getAsLong() - this.lastWallMillis);
		this.lastMonotonicMillis += elapsed.monotonicMillis();
		this.lastWallMillis += elapsed.wallMillis();
		boolean wasStalled = elapsed.monotonicMillis() > PAUSE_THRESHOLD_MILLIS;
		boolean wasSuspended = Math.abs(elapsed.wallMillis() - elapsed.monotonicMillis()) > PAUSE_THRESHOLD_MILLIS;
		return (wasStalled || wasSuspended) ? Optional.of(elapsed) : Optional.empty();
	}

	/**
	 * Time elapsed between two checks.
	 *
	 * @param monotonicMillis elapsed time on the monotonic clock
	 * @param wallMillis elapsed time on the wall clock
	 */
	public record Pause(long monotonicMillis, long wallMillis) {

	}

}
