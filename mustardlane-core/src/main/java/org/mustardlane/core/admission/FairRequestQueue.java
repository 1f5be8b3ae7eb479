package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.OrganisationId;

/**
 * Serves service classes by strict priority, and the organisations within a class by
 * start-time fair queueing.
 */
final class FairRequestQueue implements RequestQueue {

	private final Map<ServiceClass, ClassQueue> queuesByClass = new EnumMap<>(ServiceClass.class);

	private final Map<AttemptKey, PendingRequest> requestsByKey = new HashMap<>();

	FairRequestQueue(ToIntFunction<OrganisationId> weights) {
		for (ServiceClass serviceClass : ServiceClass.values()) {
			this.queuesByClass.put(serviceClass, new ClassQueue(weights));
		}
	}

	private ClassQueue queueOf(PendingRequest pending) {
		return this.queuesByClass.get(pending.request().serviceClass());
	}

	@Override
	public void add(PendingRequest pending) {
		this.requestsByKey.put(pending.key(), pending);
		queueOf(pending).add(pending);
	}

	@Override
	public boolean contains(AttemptKey key) {
		return this.requestsByKey.containsKey(key);
	}

	@Override
	public Optional<PendingRequest> remove(AttemptKey key) {
		Optional<PendingRequest> removed = Optional.ofNullable(this.requestsByKey.remove(key));
		removed.ifPresent((pending) -> queueOf(pending).remove(pending));
		return removed;
	}

	@Override
	public boolean removeFirst(Predicate<PendingRequest> tryHandle) {
		for (ClassQueue queue : this.queuesByClass.values()) {
			Optional<PendingRequest> first = queue.removeFirst(tryHandle);
			if (first.isPresent()) {
				this.requestsByKey.remove(first.get().key());
				return true;
			}
		}
		return false;
	}

	@Override
	public List<PendingRequest> removeOverdue(long nowMillis) {
		List<PendingRequest> overdue = this.requestsByKey.values()
			.stream()
			.filter((pending) -> pending.latestStartMillis() < nowMillis)
			.toList();
		overdue.forEach((pending) -> remove(pending.key()));
		this.queuesByClass.values().forEach(ClassQueue::removeIdleFlows);
		return overdue;
	}

	@Override
	public Optional<PendingRequest> removeLastBelow(ServiceClass serviceClass) {
		List<ServiceClass> lowestFirst = List.of(ServiceClass.BULK, ServiceClass.INTERACTIVE);
		Optional<PendingRequest> lastRequest = lowestFirst.stream()
			.filter((lowerClass) -> lowerClass.compareTo(serviceClass) > 0)
			.flatMap((lowerClass) -> this.queuesByClass.get(lowerClass).findLast().stream())
			.findFirst();
		lastRequest.ifPresent((pending) -> remove(pending.key()));
		return lastRequest;
	}

	@Override
	public List<PendingRequest> removeAll() {
		List<PendingRequest> requests = new ArrayList<>();
		this.queuesByClass.values().forEach((queue) -> requests.addAll(queue.requests()));
		requests.forEach((pending) -> remove(pending.key()));
		return requests;
	}

	@Override
	public int size() {
		return this.requestsByKey.size();
	}

	@Override
	public long backlogAheadMillis(PendingRequest pending) {
		long aheadMillis = 0;
		for (Map.Entry<ServiceClass, ClassQueue> entry : this.queuesByClass.entrySet()) {
			if (entry.getKey().compareTo(pending.request().serviceClass()) < 0) {
				aheadMillis += entry.getValue().backlogMillis();
			}
		}
		return aheadMillis + queueOf(pending).backlogAheadMillis(pending.request().organisation());
	}

}
