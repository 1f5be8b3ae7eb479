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
 * Serves requests first come first served.
 */
final class FifoRequestQueue implements RequestQueue {

	private final Map<AttemptKey, PendingRequest> requestsByKey = new LinkedHashMap<>();

	@Override
	public void add(PendingRequest pending) {
		this.requestsByKey.put(pending.key(), pending);
	}

	@Override
	public boolean contains(AttemptKey key) {
		return this.requestsByKey.containsKey(key);
	}

	@Override
	public Optional<PendingRequest> remove(AttemptKey key) {
		return Optional.ofNullable(this.requestsByKey.remove(key));
	}

	@Override
	public boolean removeFirst(Predicate<PendingRequest> tryHandle) {
		Iterator<PendingRequest> iterator = this.requestsByKey.values().iterator();
		if (!iterator.hasNext() || !tryHandle.test(iterator.next())) {
			return false;
		}
		iterator.remove();
		return true;
	}

	@Override
	public List<PendingRequest> removeOverdue(long nowMillis) {
		List<PendingRequest> overdue = this.requestsByKey.values()
			.stream()
			.filter((pending) -> pending.latestStartMillis() < nowMillis)
			.toList();
		overdue.forEach((pending) -> this.requestsByKey.remove(pending.key()));
		return overdue;
	}

	@Override
	public List<PendingRequest> removeAll() {
		List<PendingRequest> requests = new ArrayList<>(this.requestsByKey.values());
		this.requestsByKey.clear();
		return requests;
	}

	@Override
	public Optional<PendingRequest> removeLastBelow(ServiceClass serviceClass) {
		return Optional.empty();
	}

	@Override
	public int size() {
		return this.requestsByKey.size();
	}

	@Override
	public long backlogAheadMillis(PendingRequest pending) {
		return 0;
	}

}
