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
 * A bounded cache of the prompts of chats, and the late and incomplete events about it.
 */
final class PrefixCache {

	private static final int KEPT_EVENTS = 10_000;

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
		String digest = AnswerText.digest(Arrays.copyOf(prompt, prefix.bytes()));
		return digest.equals(prefix.digest()) ? prefix.bytes() : 0;
	}

	void store(String chat, byte[] prompt) {
		Prefix old = this.prefixes.put(chat, new Prefix(prompt.length, AnswerText.digest(prompt)));
		this.usedBytes += prompt.length - ((old != null) ? old.bytes() : 0);
		emit("STORED", chat);
		Iterator<Map.Entry<String, Prefix>> oldest = this.prefixes.entrySet().iterator();
		while (this.usedBytes > this.settings.cacheBytes() && oldest.hasNext()) {
			Map.Entry<String, Prefix> evicted = oldest.next();
			this.usedBytes -= evicted.getValue().bytes();
			oldest.remove();
			emit("EVICTED", evicted.getKey());
		}
	}

	List<CacheEvent> eventsAfter(long after) {
		long visibleMillis = System.currentTimeMillis() - this.settings.eventLagMillis();
		List<CacheEvent> visible = new ArrayList<>();
		for (TimedEvent event : this.events) {
			if (event.event().sequence() > after && event.atMillis() <= visibleMillis) {
				visible.add(event.event());
			}
		}
		return visible;
	}

	private void emit(String kind, String chat) {
		this.sequence++;
		if (this.random.nextInt(PERCENT) < this.settings.eventGapPercent()) {
			return;
		}
		this.events.addLast(new TimedEvent(System.currentTimeMillis(), new CacheEvent(this.sequence, kind, chat)));
		if (this.events.size() > KEPT_EVENTS) {
			this.events.removeFirst();
		}
	}

	/**
	 * What is cached of one chat.
	 *
	 * @param bytes length of the prefix
	 * @param digest its SHA-256
	 */
	private record Prefix(int bytes, String digest) {

	}

	/**
	 * A change of the cache.
	 *
	 * @param sequence counts the changes
	 * @param kind STORED or EVICTED
	 * @param chat the chat
	 */
	record CacheEvent(long sequence, String kind, String chat) {

	}

	/**
	 * An event and its time.
	 *
	 * @param atMillis the time
	 * @param event the event
	 */
	private record TimedEvent(long atMillis, CacheEvent event) {

	}

}
