package org.mustardlane.gateway.report;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Bounds how many lines of each kind are written in a second.
 *
 * <p>
 * Not thread-safe.
 */
public final class LogRateLimiter {

	/**
	 * Says that a line must not be written.
	 */
	static final int SUPPRESSED = -1;

	private static final int WINDOW_MILLIS = 1000;

	private final int maxLinesPerSecond;

	private final LongSupplier nowMillis;

	private final Map<LogEvent, Window> windows = new EnumMap<>(LogEvent.class);

	/**
	 * Creates a limit.
	 * @param maxLinesPerSecond most lines of each kind
	 * @param nowMillis the time
	 */
	public LogRateLimiter(int maxLinesPerSecond, LongSupplier nowMillis) {
		this.maxLinesPerSecond = maxLinesPerSecond;
		this.nowMillis = nowMillis;
	}

	/**
	 * Asks for a line.
	 * @param event its kind
	 * @return how many lines of the kind were left out before it, or {@link #SUPPRESSED}
	 */
	int tryAcquire(LogEvent event) {
		Window window = this.windows.computeIfAbsent(event, (absentEvent) -> new Window());
		long currentMillis = this.nowMillis.getAsLong();
		if (currentMillis >= window.endsAtMillis) {
			window.endsAtMillis = currentMillis + WINDOW_MILLIS;
			window.writtenCount = 0;
		}
		if (window.writtenCount >= this.maxLinesPerSecond) {
			window.suppressedCount++;
			return SUPPRESSED;
		}
		window.writtenCount++;
		int suppressedCount = window.suppressedCount;
		window.suppressedCount = 0;
		return suppressedCount;
	}

	private static final class Window {

		private long endsAtMillis;

		private int writtenCount;

		private int suppressedCount;

	}

}
