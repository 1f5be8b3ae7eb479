package org.mustardlane.gateway.report;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Limits the number of log lines of each event per second.
 *
 * <p>
 * Not thread-safe.
 */
public final class LogRateLimiter {

	/**
	 * Return value for a line that must not be written.
	 */
	static final int SUPPRESSED = -1;

	private static final int WINDOW_MILLIS = 1000;

	private final int maxLinesPerSecond;

	private final LongSupplier nowMillis;

	private final Map<LogEvent, Window> windows = new EnumMap<>(LogEvent.class);

	/**
	 * Creates a rate limiter.
	 * @param maxLinesPerSecond maximum number of lines of each event per second
	 * @param nowMillis clock in milliseconds
	 */
	public LogRateLimiter(int maxLinesPerSecond, LongSupplier nowMillis) {
		this.maxLinesPerSecond = maxLinesPerSecond;
		this.nowMillis = nowMillis;
	}

	/**
	 * Requests permission to write one line.
	 * @param event event of the line
	 * @return the number of lines of the event suppressed since its last written line, or
	 * {@link #SUPPRESSED}
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
