package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.model.common.OrganisationId;

/**
 * The waiting asks of one organisation within a class, first come first served.
 */
final class Flow {

	private final OrganisationId organisation;

	private final int weight;

	private final Map<AskKey, PendingAsk> asks = new LinkedHashMap<>();

	private double startTag;

	private long workMillis;

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

	void catchUp(double servedTag) {
		this.startTag = Math.max(this.startTag, servedTag);
	}

	boolean isEmpty() {
		return this.asks.isEmpty();
	}

	long workMillis() {
		return this.workMillis;
	}

	void add(PendingAsk pending) {
		this.asks.put(pending.key(), pending);
		this.workMillis += pending.workMillis();
	}

	boolean remove(PendingAsk pending) {
		boolean removed = this.asks.remove(pending.key()) != null;
		this.workMillis -= removed ? pending.workMillis() : 0;
		return removed;
	}

	void serve(PendingAsk pending) {
		remove(pending);
		this.startTag += (double) pending.workMillis() / this.weight;
	}

	PendingAsk first() {
		return this.asks.values().iterator().next();
	}

	PendingAsk last() {
		List<PendingAsk> all = all();
		return all.get(all.size() - 1);
	}

	List<PendingAsk> all() {
		return new ArrayList<>(this.asks.values());
	}

}
