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
final class NewestEntries<K, V> extends LinkedHashMap<K, V> {

	private static final long serialVersionUID = 1L;

	private static final int FIRST_SIZE = 16;

	private static final float LOAD_FACTOR = 0.75f;

	private final int mostEntries;

	/**
	 * Creates an empty map.
	 * @param mostEntries maximum number of entries
	 */
	NewestEntries(int mostEntries) {
		super(FIRST_SIZE, LOAD_FACTOR, true);
		this.mostEntries = mostEntries;
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
		return size() > this.mostEntries;
	}

}
