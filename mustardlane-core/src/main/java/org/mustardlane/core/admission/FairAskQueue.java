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
 * Strict priority between classes, start-time fair queueing between the organisations of
 * a class.
 */
final class FairAskQueue implements AskQueue {

	private final Map<ServiceClass, ClassQueue> classes = new EnumMap<>(ServiceClass.class);

	private final Map<AskKey, PendingAsk> asks = new HashMap<>();

	FairAskQueue(ToIntFunction<OrganisationId> weights) {
		for (ServiceClass serviceClass : ServiceClass.values()) {
			this.classes.put(serviceClass, new ClassQueue(weights));
		}
	}

	private ClassQueue classOf(PendingAsk pending) {
		return this.classes.get(pending.ask().serviceClass());
	}

	@Override
	public void add(PendingAsk pending) {
		this.asks.put(pending.key(), pending);
		classOf(pending).add(pending);
	}

	@Override
	public boolean contains(AskKey key) {
		return this.asks.containsKey(key);
	}

	@Override
	public Optional<PendingAsk> remove(AskKey key) {
		Optional<PendingAsk> removed = Optional.ofNullable(this.asks.remove(key));
		removed.ifPresent((pending) -> classOf(pending).remove(pending));
		return removed;
	}

	@Override
	public boolean removeFirst(Predicate<PendingAsk> placed) {
		for (ClassQueue queue : this.classes.values()) {
			Optional<PendingAsk> first = queue.removeFirst(placed);
			if (first.isPresent()) {
				this.asks.remove(first.get().key());
				return true;
			}
		}
		return false;
	}

	@Override
	public List<PendingAsk> removeLate(long nowMillis) {
		List<PendingAsk> late = this.asks.values()
			.stream()
			.filter((pending) -> pending.latestStartMillis() < nowMillis)
			.toList();
		late.forEach((pending) -> remove(pending.key()));
		this.classes.values().forEach(ClassQueue::forgetIdle);
		return late;
	}

	@Override
	public Optional<PendingAsk> removeLastBelow(ServiceClass serviceClass) {
		List<ServiceClass> lowestFirst = List.of(ServiceClass.BULK, ServiceClass.INTERACTIVE);
		Optional<PendingAsk> last = lowestFirst.stream()
			.filter((lower) -> lower.compareTo(serviceClass) > 0)
			.flatMap((lower) -> this.classes.get(lower).last().stream())
			.findFirst();
		last.ifPresent((pending) -> remove(pending.key()));
		return last;
	}

	@Override
	public List<PendingAsk> removeAll() {
		List<PendingAsk> all = new ArrayList<>();
		this.classes.values().forEach((queue) -> all.addAll(queue.all()));
		all.forEach((pending) -> remove(pending.key()));
		return all;
	}

	@Override
	public int size() {
		return this.asks.size();
	}

	@Override
	public long workAheadMillis(PendingAsk pending) {
		long ahead = 0;
		for (Map.Entry<ServiceClass, ClassQueue> queue : this.classes.entrySet()) {
			if (queue.getKey().compareTo(pending.ask().serviceClass()) < 0) {
				ahead += queue.getValue().workMillis();
			}
		}
		return ahead + classOf(pending).workAheadMillis(pending.ask().organisation());
	}

}
