package org.mustardlane.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/**
 * The records of the fake platform, which all its views share.
 *
 * <p>
 * Used on the thread of one server.
 */
public final class Platform {

	private static final double NANOS_PER_SECOND = 1e9;

	private final PlatformSettings settings;

	private final Map<String, RecordStream> streams = new TreeMap<>();

	private final Map<String, Integer> appends = new TreeMap<>();

	private double spareAppends;

	private long refilledAtNanos = System.nanoTime();

	/**
	 * Creates a platform without records.
	 * @param settings how it behaves
	 */
	public Platform(PlatformSettings settings) {
		this.settings = settings;
		this.spareAppends = settings.appendsPerSecond();
	}

	Map<String, Integer> appends() {
		return Map.copyOf(this.appends);
	}

	boolean takeAppend() {
		long nowNanos = System.nanoTime();
		double refill = (nowNanos - this.refilledAtNanos) / NANOS_PER_SECOND * this.settings.appendsPerSecond();
		this.refilledAtNanos = nowNanos;
		this.spareAppends = Math.min(this.settings.appendsPerSecond(), this.spareAppends + refill);
		if (this.spareAppends < 1) {
			return false;
		}
		this.spareAppends--;
		return true;
	}

	long append(String name, RecordStream.Append append) {
		this.appends.merge(name, 1, Integer::sum);
		return stream(name).append(append.records(), System.currentTimeMillis());
	}

	RecordStream stream(String name) {
		RecordStream stream = this.streams.computeIfAbsent(name, (key) -> new RecordStream());
		stream.expire(System.currentTimeMillis() - this.settings.retentionMillis());
		return stream;
	}

}
