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
	private static final int NOTICED_MILLIS = 1200;

	private final SteadyClock steady;

	private final LongSupplier wallMillis;

	private long lastSteadyMillis;

	private long lastWallMillis;

	/**
	 * Creates a detector.
	 * @param steady the steady clock
	 * @param wallMillis the time of day
	 */
	public PauseDetector(SteadyClock steady, LongSupplier wallMillis) {
		this.steady = steady;
		this.wallMillis = wallMillis;
		this.lastSteadyMillis = steady.nowMillis();
		this.lastWallMillis = wallMillis.getAsLong();
	}

	/**
	 * Compares both clocks with the last check.
	 * @return the pause, or empty where there was none
	 */
	public Optional<Pause> check() {
		Pause elapsed = new Pause(this.steady.nowMillis() - this.lastSteadyMillis,
				this.wallMillis.getAsLong() - this.lastWallMillis);
		this.lastSteadyMillis += elapsed.steadyMillis();
		this.lastWallMillis += elapsed.wallMillis();
		boolean stood = elapsed.steadyMillis() > NOTICED_MILLIS;
		boolean suspended = Math.abs(elapsed.wallMillis() - elapsed.steadyMillis()) > NOTICED_MILLIS;
		return (stood || suspended) ? Optional.of(elapsed) : Optional.empty();
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
