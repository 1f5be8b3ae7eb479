package org.mustardlane.core.order;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.event.TargetReported;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.target.LoadReport;

/**
 * Decides whether a pool has enough capacity without one of its engines.
 *
 * <p>
 * Not thread-safe.
 */
final class PoolCapacity {

	private static final int PERCENT = 100;

	private final OrderSettings settings;

	private final Map<TargetId, ReceivedReport> reports = new HashMap<>();

	private CatalogueSnapshot catalogue = CatalogueSnapshot.EMPTY;

	/**
	 * Creates the view without catalogue and load reports.
	 * @param settings limits and durations
	 */
	PoolCapacity(OrderSettings settings) {
		this.settings = settings;
	}

	/**
	 * Replaces the catalogue and drops the load reports of removed targets.
	 * @param snapshot the new catalogue
	 */
	void setCatalogue(CatalogueSnapshot snapshot) {
		this.catalogue = snapshot;
		this.reports.keySet().retainAll(snapshot.targets().keySet());
	}

	/**
	 * Returns the current catalogue.
	 * @return the catalogue
	 */
	CatalogueSnapshot catalogue() {
		return this.catalogue;
	}

	/**
	 * Stores a load report if its target is in the catalogue.
	 * @param event the report
	 * @param nowMillis current time of this VM in milliseconds
	 */
	void addReport(TargetReported event, long nowMillis) {
		if (this.catalogue.targets().containsKey(event.report().target())) {
			this.reports.put(event.report().target(), new ReceivedReport(event.report(), nowMillis));
		}
	}

	/**
	 * Returns the engines of a pool.
	 * @param pool id of the pool
	 * @return the engines
	 */
	List<Target> engines(PoolId pool) {
		return this.catalogue.targets().values().stream().filter((target) -> target.pool().equals(pool)).toList();
	}

	/**
	 * Returns whether the other engines of the pool can carry its whole load.
	 * @param engine the engine to take out of service
	 * @param nowMillis current time of this VM in milliseconds
	 * @return whether the capacity is sufficient; false if the load report of any engine
	 * of the pool is missing or too old
	 */
	boolean canSpare(Target engine, long nowMillis) {
		int load = 0;
		int slots = 0;
		for (Target member : engines(engine.pool())) {
			ReceivedReport report = this.reports.get(member.id());
			if (report == null || nowMillis > report.receivedAtMillis() + this.settings.maxReportAgeMillis()) {
				return false;
			}
			load += report.report().running() + report.report().waiting();
			boolean remainsInService = !member.id().equals(engine.id()) && !report.report().leaving();
			slots += remainsInService ? member.slots() : 0;
		}
		return slots * PERCENT >= load * this.settings.requiredCapacityPercent();
	}

	private record ReceivedReport(LoadReport report, long receivedAtMillis) {

	}

}
