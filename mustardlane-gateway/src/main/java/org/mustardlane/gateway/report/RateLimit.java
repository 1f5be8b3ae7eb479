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
public final class RateLimit {

	/**
	 * Says that a line must not be written.
	 */
	static final int REFUSED = -1;

	private static final int WINDOW_MILLIS = 1000;

	private final int linesPerSecond;

	private final LongSupplier nowMillis;

	private final Map<LogEvent, Window> windows = new EnumMap<>(LogEvent.class);

	/**
	 * Creates a limit.
	 * @param linesPerSecond most lines of each kind
	 * @param nowMillis the time
	 */
	public RateLimit(int linesPerSecond, LongSupplier nowMillis) {
		this.linesPerSecond = linesPerSecond;
		this.nowMillis = nowMillis;
	}

	/**
	 * Asks for a line.
	 * @param event its kind
	 * @return how many lines of the kind were left out before it, or {@link #REFUSED}
	 */
	int leftOutBefore(LogEvent event) {
		Window window = this.windows.computeIfAbsent(event, (kind) -> new Window());
		long now = this.nowMillis.getAsLong();
		if (now >= window.endsAtMillis) {
			window.endsAtMillis = now + WINDOW_MILLIS;
			window.written = 0;
		}
		if (window.written >= this.linesPerSecond) {
			window.leftOut++;
			return REFUSED;
		}
		window.written++;
		int leftOut = window.leftOut;
		window.leftOut = 0;
		return leftOut;
	}

	private static final class Window {

		private long endsAtMillis;

		private int written;

		private int leftOut;

	}

}
