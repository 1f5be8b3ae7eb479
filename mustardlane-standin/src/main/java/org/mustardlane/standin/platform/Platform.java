package org.mustardlane.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/**
 * Streams of the fake platform, which all its views share, and its limit on the rate of
 * appends.
 *
 * <p>
 * Not thread-safe: used on the event loop of one server.
 */
public final class Platform {

	private static final double NANOS_PER_SECOND = 1e9;

	private final PlatformSettings settings;

	private final Map<String, RecordStream> streams = new TreeMap<>();

	private final Map<String, Integer> appendCounts = new TreeMap<>();

	private double availableAppends;

	private long lastRefillNanos = System.nanoTime();

	/**
	 * Creates a platform without records.
	 * @param settings append rate and retention
	 */
	public Platform(PlatformSettings settings) {
		this.settings = settings;
		this.availableAppends = settings.appendsPerSecond();
	}

	Map<String, Integer> appendCounts() {
		return Map.copyOf(this.appendCounts);
	}

	boolean tryAcquireAppend() {
		long nowNanos = System.nanoTime();
		double refill = (nowNanos - this.lastRefillNanos) / NANOS_PER_SECOND * this.settings.appendsPerSecond();
		this.lastRefillNanos = nowNanos;
		this.availableAppends = Math.min(this.settings.appendsPerSecond(), this.availableAppends + refill);
		if (this.availableAppends < 1) {
			return false;
		}
		this.availableAppends--;
		return true;
	}

	long append(String streamName, RecordStream.Append append) {
		this.appendCounts.merge(streamName, 1, Integer::sum);
		return stream(streamName).append(append.records(), System.currentTimeMillis());
	}

	RecordStream stream(String streamName) {
		RecordStream stream = this.streams.computeIfAbsent(streamName, (key) -> new RecordStream());
		stream.removeExpiredRecords(System.currentTimeMillis() - this.settings.retentionMillis());
		return stream;
	}

}
