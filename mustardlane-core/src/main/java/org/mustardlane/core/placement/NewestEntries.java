package org.mustardlane.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that drops its least recently used entry above a size.
 *
 * <p>
 * Not thread-safe.
 *
 * @param <K> kind of keys
 * @param <V> kind of values
 */
final class NewestEntries<K, V> extends LinkedHashMap<K, V> {

	private static final long serialVersionUID = 1L;

	private static final int FIRST_SIZE = 16;

	private static final float LOAD_FACTOR = 0.75f;

	private final int mostEntries;

	/**
	 * Creates an empty map.
	 * @param mostEntries most entries that it holds
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
