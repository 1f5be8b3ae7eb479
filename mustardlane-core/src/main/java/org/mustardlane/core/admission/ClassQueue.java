package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.mustardlane.core.model.common.OrganisationId;

/**
 * The asks of one class: start-time fair queueing over flows, one flow an organisation.
 *
 * <p>
 * Each flow has a start tag. The waiting flow with the least tag is served first, and its
 * tag grows by the work served, divided by its weight. A flow that comes back from
 * idleness starts at the tag served last, so it can not save up service.
 */
final class ClassQueue {

	/**
	 * Most flows that are tried for one free slot.
	 */
	private static final int SCANNED_FLOWS = 16;

	private final Map<OrganisationId, Flow> flows = new HashMap<>();

	private final TreeSet<Flow> waiting = new TreeSet<>(
			Comparator.comparingDouble(Flow::startTag).thenComparing(Flow::organisation));

	private final ToIntFunction<OrganisationId> weights;

	private double servedTag;

	private long workMillis;

	private long waitingWeight;

	ClassQueue(ToIntFunction<OrganisationId> weights) {
		this.weights = weights;
	}

	void add(PendingAsk pending) {
		OrganisationId organisation = pending.ask().organisation();
		Flow flow = this.flows.computeIfAbsent(organisation, (key) -> new Flow(key, weight(key)));
		if (flow.isEmpty()) {
			flow.catchUp(this.servedTag);
			this.waiting.add(flow);
			this.waitingWeight += flow.weight();
		}
		flow.add(pending);
		this.workMillis += pending.workMillis();
	}

	private int weight(OrganisationId organisation) {
		return Math.max(1, this.weights.applyAsInt(organisation));
	}

	void remove(PendingAsk pending) {
		Flow flow = this.flows.get(pending.ask().organisation());
		if (flow != null && flow.remove(pending)) {
			this.workMillis -= pending.workMillis();
			retireIfEmpty(flow);
		}
	}

	private void retireIfEmpty(Flow flow) {
		if (flow.isEmpty()) {
			this.waiting.remove(flow);
			this.waitingWeight -= flow.weight();
		}
	}

	Optional<PendingAsk> removeFirst(Predicate<PendingAsk> placed) {
		int scanned = 0;
		for (Iterator<Flow> iterator = this.waiting.iterator(); iterator.hasNext() && scanned < SCANNED_FLOWS;) {
			Flow flow = iterator.next();
			PendingAsk first = flow.first();
			if (placed.test(first)) {
				serve(flow, first);
				return Optional.of(first);
			}
			scanned++;
		}
		return Optional.empty();
	}

	private void serve(Flow flow, PendingAsk pending) {
		this.waiting.remove(flow);
		this.servedTag = Math.max(this.servedTag, flow.startTag());
		flow.serve(pending);
		this.workMillis -= pending.workMillis();
		if (flow.isEmpty()) {
			this.waitingWeight -= flow.weight();
		}
		else {
			this.waiting.add(flow);
		}
	}

	/**
	 * Forgets flows that are idle and have no debt.
	 */
	void forgetIdle() {
		this.flows.values().removeIf((flow) -> flow.isEmpty() && flow.startTag() <= this.servedTag);
	}

	Optional<PendingAsk> last() {
		return this.waiting.isEmpty() ? Optional.empty() : Optional.of(this.waiting.last().last());
	}

	List<PendingAsk> all() {
		List<PendingAsk> all = new ArrayList<>();
		this.waiting.forEach((flow) -> all.addAll(flow.all()));
		return all;
	}

	long workMillis() {
		return this.workMillis;
	}

	/**
	 * Returns the work that will be served before a new ask of an organisation.
	 * @param organisation the organisation
	 * @return the work of its own flow, and of the others what fairness gives them
	 * meanwhile
	 */
	long workAheadMillis(OrganisationId organisation) {
		Flow flow = this.flows.get(organisation);
		long own = (flow != null) ? flow.workMillis() : 0;
		int weight = weight(organisation);
		boolean waits = flow != null && !flow.isEmpty();
		long otherWeight = this.waitingWeight - (waits ? weight : 0);
		long others = Math.min(this.workMillis - own, own * otherWeight / weight);
		return own + others;
	}

}
