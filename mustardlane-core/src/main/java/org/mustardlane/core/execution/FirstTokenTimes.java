package org.mustardlane.core.execution;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

import org.mustardlane.core.model.common.EntryName;

/**
 * Recent first-token times of each entry. The delay before a hedged attempt is derived
 * from them.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class FirstTokenTimes {

	private static final int SIGNIFICANT_DIGITS = 2;

	private static final long MAX_MILLIS = 600_000;

	private static final int WINDOW_SAMPLES = 200;

	private static final int MIN_SAMPLES = 20;

	private static final double HEDGE_PERCENTILE = 95;

	private final Map<EntryName, Window> windows = new HashMap<>();

	/**
	 * Adds a sample.
	 * @param entry the entry
	 * @param firstTokenMillis time from sending the request to the first byte of the
	 * response
	 */
	void add(EntryName entry, long firstTokenMillis) {
		this.windows.computeIfAbsent(entry, (key) -> new Window()).add(firstTokenMillis);
	}

	/**
	 * Returns how long to wait for the first token before a hedge is sent.
	 * @param entry the entry
	 * @return the delay in milliseconds, or {@link Long#MAX_VALUE} while there are too
	 * few samples
	 */
	long hedgeDelayMillis(EntryName entry) {
		Window window = this.windows.get(entry);
		return (window != null) ? window.hedgeDelayMillis() : Long.MAX_VALUE;
	}

	/**
	 * The samples of one entry: the current histogram and the previous one, which is
	 * dropped when the current one is full.
	 */
	private static final class Window {

		private Histogram current = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

		private Histogram previous = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

		private long hedgeDelayMillis = Long.MAX_VALUE;

		void add(long millis) {
			this.current.recordValue(Math.min(MAX_MILLIS, Math.max(0, millis)));
			long count = this.current.getTotalCount();
			if (count % MIN_SAMPLES == 0) {
				this.hedgeDelayMillis = Math.max(1, Math.max(percentile(this.current), percentile(this.previous)));
			}
			if (count >= WINDOW_SAMPLES) {
				Histogram recycled = this.previous;
				this.previous = this.current;
				recycled.reset();
				this.current = recycled;
			}
		}

		long hedgeDelayMillis() {
			return this.hedgeDelayMillis;
		}

		private static long percentile(Histogram histogram) {
			return (histogram.getTotalCount() > 0) ? histogram.getValueAtPercentile(HEDGE_PERCENTILE) : 0;
		}

	}

}
