package org.mustardlane.standin.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Bounded LRU cache of the prompts of chats. Its change events can be read after a lag,
 * and some of them are lost.
 */
final class PrefixCache {

	private static final int MAX_EVENTS = 10_000;

	private static final int PERCENT = 100;

	private final LinkedHashMap<String, Prefix> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<TimedEvent> events = new ArrayDeque<>();

	private final TargetSettings settings;

	private final UniformRandomProvider random;

	private long usedBytes;

	private long sequence;

	PrefixCache(TargetSettings settings, UniformRandomProvider random) {
		this.settings = settings;
		this.random = random;
	}

	int cachedBytes(String chat, byte[] prompt) {
		Prefix prefix = this.prefixes.get(chat);
		if (prefix == null || prefix.bytes() > prompt.length) {
			return 0;
		}
		String digest = ResponseText.sha256Hex(Arrays.copyOf(prompt, prefix.bytes()));
		return digest.equals(prefix.digest()) ? prefix.bytes() : 0;
	}

	void store(String chat, byte[] prompt) {
		Prefix replaced = this.prefixes.put(chat, new Prefix(prompt.length, ResponseText.sha256Hex(prompt)));
		this.usedBytes += prompt.length - ((replaced != null) ? replaced.bytes() : 0);
		recordEvent("STORED", chat);
		Iterator<Map.Entry<String, Prefix>> leastRecentFirst = this.prefixes.entrySet().iterator();
		while (this.usedBytes > this.settings.cacheBytes() && leastRecentFirst.hasNext()) {
			Map.Entry<String, Prefix> evicted = leastRecentFirst.next();
			this.usedBytes -= evicted.getValue().bytes();
			leastRecentFirst.remove();
			recordEvent("EVICTED", evicted.getKey());
		}
	}

	List<CacheEvent> eventsAfter(long afterSequence) {
		long latestVisibleMillis = System.currentTimeMillis() - this.settings.eventLagMillis();
		List<CacheEvent> visibleEvents = new ArrayList<>();
		for (TimedEvent event : this.events) {
			if (event.event().sequence() > afterSequence && event.atMillis() <= latestVisibleMillis) {
				visibleEvents.add(event.event());
			}
		}
		return visibleEvents;
	}

	private void recordEvent(String kind, String chat) {
		this.sequence++;
		if (this.random.nextInt(PERCENT) < this.settings.eventGapPercent()) {
			return;
		}
		this.events.addLast(new TimedEvent(System.currentTimeMillis(), new CacheEvent(this.sequence, kind, chat)));
		if (this.events.size() > MAX_EVENTS) {
			this.events.removeFirst();
		}
	}

	/**
	 * The cached prompt of one chat.
	 *
	 * @param bytes length of the prompt in bytes
	 * @param digest SHA-256 of the prompt in hexadecimal
	 */
	private record Prefix(int bytes, String digest) {

	}

	/**
	 * A change of the cache, as readers get it.
	 *
	 * @param sequence sequence number of the change; lost events leave gaps
	 * @param kind {@code STORED} or {@code EVICTED}
	 * @param chat id of the chat
	 */
	record CacheEvent(long sequence, String kind, String chat) {

	}

	/**
	 * An event with the time at which it occurred.
	 *
	 * @param atMillis the time in milliseconds since the epoch
	 * @param event the event
	 */
	private record TimedEvent(long atMillis, CacheEvent event) {

	}

}
