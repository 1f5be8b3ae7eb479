package org.mustardlane.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts its least recently used entry when it exceeds a maximum size.
 *
 * <p>
 * Not thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
final class LruMap<K, V> extends LinkedHashMap<K, V> {

	private static final long serialVersionUID = 1L;

	private static final int INITIAL_CAPACITY = 16;

	private static final float LOAD_FACTOR = 0.75f;

	private final int maxEntries;

	/**
	 * Creates an empty map.
	 * @param maxEntries maximum number of entries
	 */
	LruMap(int maxEntries) {
		super(INITIAL_CAPACITY, LOAD_FACTOR, true);
		this.maxEntries = maxEntries;
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
		return size() > this.maxEntries;
	}

}
