package org.mustardlane.core.execution;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

import org.mustardlane.core.model.common.EntryName;

/**
 * First-token times of each entry, of which old ones fade, for the time after which a
 * hedge is worth its cost.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class FirstTokenTimes {

	private static final int SIGNIFICANT_DIGITS = 2;

	private static final long HIGHEST_MILLIS = 600_000;

	private static final int WINDOW_SAMPLES = 200;

	private static final int LEAST_SAMPLES = 20;

	private static final double HEDGE_PERCENTILE = 95;

	private final Map<EntryName, Window> windows = new HashMap<>();

	/**
	 * Adds a sample.
	 * @param entry the entry
	 * @param firstTokenMillis from sending to the first byte of the answer
	 */
	void add(EntryName entry, long firstTokenMillis) {
		this.windows.computeIfAbsent(entry, (key) -> new Window()).add(firstTokenMillis);
	}

	/**
	 * Returns after how long without a first token a hedge is sent.
	 * @param entry the entry
	 * @return milliseconds, or {@link Long#MAX_VALUE} while too few samples are known
	 */
	long hedgeAfterMillis(EntryName entry) {
		Window window = this.windows.get(entry);
		return (window != null) ? window.hedgeAfterMillis() : Long.MAX_VALUE;
	}

	/**
	 * Two halves of a sliding window.
	 */
	private static final class Window {

		private Histogram young = new Histogram(HIGHEST_MILLIS, SIGNIFICANT_DIGITS);

		private Histogram old = new Histogram(HIGHEST_MILLIS, SIGNIFICANT_DIGITS);

		private long hedgeAfterMillis = Long.MAX_VALUE;

		void add(long millis) {
			this.young.recordValue(Math.min(HIGHEST_MILLIS, Math.max(0, millis)));
			long count = this.young.getTotalCount();
			if (count % LEAST_SAMPLES == 0) {
				this.hedgeAfterMillis = Math.max(1, Math.max(quantile(this.young), quantile(this.old)));
			}
			if (count >= WINDOW_SAMPLES) {
				Histogram spare = this.old;
				this.old = this.young;
				spare.reset();
				this.young = spare;
			}
		}

		long hedgeAfterMillis() {
			return this.hedgeAfterMillis;
		}

		private static long quantile(Histogram histogram) {
			return (histogram.getTotalCount() > 0) ? histogram.getValueAtPercentile(HEDGE_PERCENTILE) : 0;
		}

	}

}
