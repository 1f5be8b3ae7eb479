package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * First come first served.
 */
final class FifoAskQueue implements AskQueue {

	private final Map<AskKey, PendingAsk> asks = new LinkedHashMap<>();

	@Override
	public void add(PendingAsk pending) {
		this.asks.put(pending.key(), pending);
	}

	@Override
	public boolean contains(AskKey key) {
		return this.asks.containsKey(key);
	}

	@Override
	public Optional<PendingAsk> remove(AskKey key) {
		return Optional.ofNullable(this.asks.remove(key));
	}

	@Override
	public boolean removeFirst(Predicate<PendingAsk> placed) {
		Iterator<PendingAsk> waiting = this.asks.values().iterator();
		if (!waiting.hasNext() || !placed.test(waiting.next())) {
			return false;
		}
		waiting.remove();
		return true;
	}

	@Override
	public List<PendingAsk> removeLate(long nowMillis) {
		List<PendingAsk> late = this.asks.values()
			.stream()
			.filter((pending) -> pending.latestStartMillis() < nowMillis)
			.toList();
		late.forEach((pending) -> this.asks.remove(pending.key()));
		return late;
	}

	@Override
	public List<PendingAsk> removeAll() {
		List<PendingAsk> all = new ArrayList<>(this.asks.values());
		this.asks.clear();
		return all;
	}

	@Override
	public Optional<PendingAsk> removeLastBelow(ServiceClass serviceClass) {
		return Optional.empty();
	}

	@Override
	public int size() {
		return this.asks.size();
	}

	@Override
	public long workAheadMillis(PendingAsk pending) {
		return 0;
	}

}
