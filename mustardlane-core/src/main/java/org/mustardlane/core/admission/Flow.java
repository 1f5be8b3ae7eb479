package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.model.common.OrganisationId;

/**
 * Queues the requests of one organisation within a service class, first come first
 * served.
 */
final class Flow {

	private final OrganisationId organisation;

	private final int weight;

	private final Map<AttemptKey, PendingRequest> requestsByKey = new LinkedHashMap<>();

	private double startTag;

	private long backlogMillis;

	Flow(OrganisationId organisation, int weight) {
		this.organisation = organisation;
		this.weight = weight;
	}

	OrganisationId organisation() {
		return this.organisation;
	}

	int weight() {
		return this.weight;
	}

	double startTag() {
		return this.startTag;
	}

	void advanceStartTag(double virtualTime) {
		this.startTag = Math.max(this.startTag, virtualTime);
	}

	boolean isEmpty() {
		return this.requestsByKey.isEmpty();
	}

	long backlogMillis() {
		return this.backlogMillis;
	}

	void add(PendingRequest pending) {
		this.requestsByKey.put(pending.key(), pending);
		this.backlogMillis += pending.serviceMillis();
	}

	boolean remove(PendingRequest pending) {
		boolean removed = this.requestsByKey.remove(pending.key()) != null;
		this.backlogMillis -= removed ? pending.serviceMillis() : 0;
		return removed;
	}

	void serve(PendingRequest pending) {
		remove(pending);
		this.startTag += (double) pending.serviceMillis() / this.weight;
	}

	PendingRequest first() {
		return this.requestsByKey.values().iterator().next();
	}

	PendingRequest last() {
		List<PendingRequest> requests = requests();
		return requests.get(requests.size() - 1);
	}

	List<PendingRequest> requests() {
		return new ArrayList<>(this.requestsByKey.values());
	}

}
