package org.mustardlane.core.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of the streams of the recent past, by the id of the request that brought
 * the first event.
 *
 * <p>
 * Not thread-safe.
 */
public final class StreamOrigins {

	/**
	 * Callers take up a stream within the time that they wait for its end.
	 */
	public static final int RETENTION_MILLIS = 60_000;

	private static final int MAX_STREAMS = 20_000;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	/**
	 * Records the origin of a stream. The first record of a stream counts.
	 * @param requestId id of the request that brought the first event
	 * @param origin origin of the stream
	 * @param nowMillis the current time
	 */
	public void record(String requestId, PoolVersion origin, long nowMillis) {
		discardExpired(nowMillis);
		this.entries.putIfAbsent(requestId, new Entry(origin, nowMillis));
	}

	private void discardExpired(long nowMillis) {
		Iterator<Entry> oldestFirst = this.entries.values().iterator();
		int excessCount = this.entries.size() - MAX_STREAMS + 1;
		while (oldestFirst.hasNext()) {
			boolean isExpired = nowMillis - oldestFirst.next().recordedAtMillis > RETENTION_MILLIS;
			if (!isExpired && excessCount <= 0) {
				return;
			}
			oldestFirst.remove();
			excessCount--;
		}
	}

	/**
	 * Finds the origin of a stream.
	 * @param requestId id of the request that brought the first event
	 * @return the origin, or empty if it is not known
	 */
	public Optional<PoolVersion> find(String requestId) {
		return Optional.ofNullable(this.entries.get(requestId)).map(Entry::origin);
	}

	private record Entry(PoolVersion origin, long recordedAtMillis) {

	}

}
