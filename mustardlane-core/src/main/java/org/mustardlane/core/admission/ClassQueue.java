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
 * Queues the requests of one service class by start-time fair queueing, with one flow per
 * organisation.
 *
 * <p>
 * Each flow has a start tag. The active flow with the lowest tag is served first, and its
 * tag then grows by the service time divided by the weight of the flow. A flow that
 * becomes active again starts at the current virtual time, so it cannot accumulate credit
 * while idle.
 */
final class ClassQueue {

	/**
	 * Largest number of flows that are tried for one free slot.
	 */
	private static final int MAX_SCANNED_FLOWS = 16;

	private final Map<OrganisationId, Flow> flows = new HashMap<>();

	private final TreeSet<Flow> activeFlows = new TreeSet<>(
			Comparator.comparingDouble(Flow::startTag).thenComparing(Flow::organisation));

	private final ToIntFunction<OrganisationId> weights;

	private double virtualTime;

	private long backlogMillis;

	private long activeWeight;

	ClassQueue(ToIntFunction<OrganisationId> weights) {
		this.weights = weights;
	}

	void add(PendingRequest pending) {
		OrganisationId organisation = pending.request().organisation();
		Flow flow = this.flows.computeIfAbsent(organisation, (key) -> new Flow(key, weight(key)));
		if (flow.isEmpty()) {
			flow.advanceStartTag(this.virtualTime);
			this.activeFlows.add(flow);
			this.activeWeight += flow.weight();
		}
		flow.add(pending);
		this.backlogMillis += pending.serviceMillis();
	}

	private int weight(OrganisationId organisation) {
		return Math.max(1, this.weights.applyAsInt(organisation));
	}

	void remove(PendingRequest pending) {
		Flow flow = this.flows.get(pending.request().organisation());
		if (flow != null && flow.remove(pending)) {
			this.backlogMillis -= pending.serviceMillis();
			deactivateIfEmpty(flow);
		}
	}

	private void deactivateIfEmpty(Flow flow) {
		if (flow.isEmpty()) {
			this.activeFlows.remove(flow);
			this.activeWeight -= flow.weight();
		}
	}

	Optional<PendingRequest> removeFirst(Predicate<PendingRequest> tryHandle) {
		int scannedCount = 0;
		for (Iterator<Flow> iterator = this.activeFlows.iterator(); iterator.hasNext()
				&& scannedCount < MAX_SCANNED_FLOWS;) {
			Flow flow = iterator.next();
			PendingRequest first = flow.first();
			if (tryHandle.test(first)) {
				serve(flow, first);
				return Optional.of(first);
			}
			scannedCount++;
		}
		return Optional.empty();
	}

	private void serve(Flow flow, PendingRequest pending) {
		this.activeFlows.remove(flow);
		this.virtualTime = Math.max(this.virtualTime, flow.startTag());
		flow.serve(pending);
		this.backlogMillis -= pending.serviceMillis();
		if (flow.isEmpty()) {
			this.activeWeight -= flow.weight();
		}
		else {
			this.activeFlows.add(flow);
		}
	}

	/**
	 * Removes the idle flows whose start tags are not ahead of the virtual time.
	 */
	void removeIdleFlows() {
		this.flows.values().removeIf((flow) -> flow.isEmpty() && flow.startTag() <= this.virtualTime);
	}

	Optional<PendingRequest> findLast() {
		return this.activeFlows.isEmpty() ? Optional.empty() : Optional.of(this.activeFlows.last().last());
	}

	List<PendingRequest> requests() {
		List<PendingRequest> requests = new ArrayList<>();
		this.activeFlows.forEach((flow) -> requests.addAll(flow.requests()));
		return requests;
	}

	long backlogMillis() {
		return this.backlogMillis;
	}

	/**
	 * Returns the total service time of the requests that will be served before a new
	 * request of an organisation.
	 * @param organisation the organisation
	 * @return the backlog of the organisation, plus the part of the other backlogs that
	 * fair queueing serves in the meantime, in milliseconds
	 */
	long backlogAheadMillis(OrganisationId organisation) {
		Flow flow = this.flows.get(organisation);
		long ownMillis = (flow != null) ? flow.backlogMillis() : 0;
		int weight = weight(organisation);
		boolean isActive = flow != null && !flow.isEmpty();
		long otherWeight = this.activeWeight - (isActive ? weight : 0);
		long otherMillis = Math.min(this.backlogMillis - ownMillis, ownMillis * otherWeight / weight);
		return ownMillis + otherMillis;
	}

}
