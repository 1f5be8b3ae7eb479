package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.target.OutlierDetector;
import org.mustardlane.core.target.TargetHealth;

/**
 * Holds the targets, grants and queue of one shard.
 *
 * <p>
 * Not thread-safe; guarded by the lock of {@link AdmissionHandler}.
 */
final class Shard {

	private static final int FULL_PERCENT = 100;

	private final ShardId id;

	private final PoolLoad pool;

	private final RequestQueue queue;

	private final Map<AttemptKey, Grant> grants = new HashMap<>();

	private Map<TargetId, TargetSlots> targets = new LinkedHashMap<>();

	private final Map<OrganisationId, Integer> grantsByOrganisation = new HashMap<>();

	private final RecentDemand recentDemand = new RecentDemand();

	private final OutlierDetector outlierDetector = new OutlierDetector();

	private int nonBulkGrants;

	private boolean owned;

	private int openTargetCount;

	private int slotsOfOpenTargets;

	private int grantsOnOpenTargets;

	private long warmUpEndMillis;

	private int grantableSharePercent = FULL_PERCENT;

	private long partialShareSinceMillis;

	Shard(ShardId id, PoolLoad pool, RequestQueue queue) {
		this.id = id;
		this.pool = pool;
		this.queue = queue;
	}

	ShardId id() {
		return this.id;
	}

	PoolLoad pool() {
		return this.pool;
	}

	RequestQueue queue() {
		return this.queue;
	}

	boolean isOwned() {
		return this.owned;
	}

	void setOwned(boolean owned) {
		this.owned = owned;
	}

	Collection<TargetSlots> targets() {
		return this.targets.values();
	}

	Optional<TargetSlots> target(TargetId target) {
		return Optional.ofNullable(this.targets.get(target));
	}

	/**
	 * Replaces the targets after a catalogue change. Unchanged targets keep their state.
	 * @param newTargets the targets in the new catalogue
	 * @return the targets that were added or changed
	 */
	List<TargetSlots> setTargets(List<Target> newTargets) {
		Map<TargetId, TargetSlots> targetsById = new LinkedHashMap<>();
		List<TargetSlots> addedTargets = new ArrayList<>();
		List<Target> sorted = newTargets.stream().sorted(Comparator.comparing(Target::id)).toList();
		for (Target newTarget : sorted) {
			TargetSlots existing = this.targets.get(newTarget.id());
			TargetSlots slots = (existing != null && existing.target().equals(newTarget)) ? existing
					: new TargetSlots(newTarget);
			targetsById.put(newTarget.id(), slots);
			if (slots != existing) {
				addedTargets.add(slots);
				this.grants.values()
					.stream()
					.filter((grant) -> grant.target().equals(newTarget.id()))
					.forEach(slots::adoptGrant);
			}
		}
		this.targets = targetsById;
		recountOpenTargets();
		return addedTargets;
	}

	/**
	 * Recounts the open targets, their slots and their grants.
	 */
	void recountOpenTargets() {
		int openTargetCountBefore = this.openTargetCount;
		int grantsBefore = this.grantsOnOpenTargets;
		this.openTargetCount = 0;
		this.slotsOfOpenTargets = 0;
		this.grantsOnOpenTargets = 0;
		this.warmUpEndMillis = 0;
		for (TargetSlots slots : this.targets.values()) {
			this.warmUpEndMillis = Math.max(this.warmUpEndMillis, slots.warmUpEndMillis());
			if (slots.isOpen()) {
				this.openTargetCount++;
				this.slotsOfOpenTargets += slots.target().slots();
				this.grantsOnOpenTargets += slots.grantCount();
			}
		}
		notifyPool(this.grantsOnOpenTargets - grantsBefore, this.openTargetCount - openTargetCountBefore);
	}

	private void notifyPool(int grantCountChange, int openTargetCountChange) {
		if (this.owned) {
			this.pool.adjustOwnTotals(grantCountChange, openTargetCountChange);
		}
	}

	private void adjustGrantsOnOpenTargets(Grant grant, int change) {
		if (target(grant.target()).filter(TargetSlots::isOpen).isPresent()) {
			this.grantsOnOpenTargets += change;
			notifyPool(change, 0);
		}
	}

	long warmUpEndMillis() {
		return this.warmUpEndMillis;
	}

	RecentDemand recentDemand() {
		return this.recentDemand;
	}

	boolean hasOpenTarget() {
		return this.openTargetCount > 0;
	}

	/**
	 * Returns the expected time until the next grant of the shard is released.
	 * @return the time in milliseconds
	 */
	double expectedMillisToRelease() {
		double releasesPerMilli = 0;
		for (TargetSlots slots : this.targets.values()) {
			releasesPerMilli += 1 / slots.expectedMillisToRelease();
		}
		return 1 / releasesPerMilli;
	}

	/**
	 * Checks whether any target may run a request.
	 * @param excluded targets on which the request has failed
	 * @return false if all targets are leaving or excluded
	 */
	boolean hasUsableTarget(Set<TargetId> excluded) {
		for (TargetSlots slots : this.targets.values()) {
			if (!slots.isLeaving() && !excluded.contains(slots.target().id())) {
				return true;
			}
		}
		return false;
	}

	int openTargetCount() {
		return this.openTargetCount;
	}

	int slotsOfOpenTargets() {
		return this.slotsOfOpenTargets;
	}

	int grantsOnOpenTargets() {
		return this.grantsOnOpenTargets;
	}

	/**
	 * Returns the load of the open targets, for the mean load of the pool.
	 * @param nowMillis the current time in milliseconds
	 * @return the number of grants; during the warm-up of a target its reported load if
	 * higher
	 */
	int loadOfOpenTargets(long nowMillis) {
		if (nowMillis >= this.warmUpEndMillis) {
			return this.grantsOnOpenTargets;
		}
		int load = 0;
		for (TargetSlots slots : this.targets.values()) {
			load += slots.isOpen() ? slots.load(nowMillis) : 0;
		}
		return load;
	}

	/**
	 * Returns the percentage of a target's slots that this owner may grant.
	 * @param slots the target
	 * @param nowMillis the current time in milliseconds
	 * @return the percentage; below 100 while some routers of the failure domain are not
	 * seen, because one of them may consider itself the owner too, unless load reports
	 * show no grants of another owner
	 */
	int grantableSharePercent(TargetSlots slots, long nowMillis) {
		boolean isFull = this.grantableSharePercent == FULL_PERCENT
				|| slots.hasNoForeignLoad(this.partialShareSinceMillis, nowMillis);
		return isFull ? FULL_PERCENT : this.grantableSharePercent;
	}

	void setGrantableSharePercent(int percent, long nowMillis) {
		if (percent < this.grantableSharePercent) {
			this.partialShareSinceMillis = nowMillis;
		}
		this.grantableSharePercent = percent;
	}

	Collection<Grant> grants() {
		return this.grants.values();
	}

	List<Grant> grants(TargetId target) {
		return this.grants.values().stream().filter((grant) -> grant.target().equals(target)).toList();
	}

	Optional<Grant> grant(AttemptKey key) {
		return Optional.ofNullable(this.grants.get(key));
	}

	void addGrant(Grant grant) {
		indexGrant(grant);
		target(grant.target()).ifPresent((slots) -> slots.addGrant(grant));
	}

	/**
	 * Adds a grant that an earlier owner issued.
	 * @param grant the grant
	 */
	void adoptGrant(Grant grant) {
		indexGrant(grant);
		target(grant.target()).ifPresent((slots) -> slots.adoptGrant(grant));
	}

	private void indexGrant(Grant grant) {
		this.grants.put(grant.key(), grant);
		this.grantsByOrganisation.merge(grant.organisation(), 1, Integer::sum);
		this.nonBulkGrants += (grant.serviceClass() == ServiceClass.BULK) ? 0 : 1;
		adjustGrantsOnOpenTargets(grant, 1);
	}

	void renewGrant(Grant grant, long expiryMillis) {
		this.grants.put(grant.key(), grant.withExpiry(expiryMillis));
	}

	void removeGrant(Grant grant) {
		if (!this.grants.remove(grant.key(), grant)) {
			return;
		}
		this.grantsByOrganisation.computeIfPresent(grant.organisation(),
				(organisation, count) -> (count > 1) ? count - 1 : null);
		this.nonBulkGrants -= (grant.serviceClass() == ServiceClass.BULK) ? 0 : 1;
		adjustGrantsOnOpenTargets(grant, -1);
		target(grant.target()).ifPresent((slots) -> slots.removeGrant(grant));
	}

	int grantCount(OrganisationId organisation) {
		return this.grantsByOrganisation.getOrDefault(organisation, 0);
	}

	/**
	 * Samples the recent demand and reviews the health of the targets.
	 * @param elapsedMillis time since the last call
	 * @param nowMillis the current time in milliseconds
	 */
	void advance(long elapsedMillis, long nowMillis) {
		this.recentDemand.sampleNonBulkGrants(this.nonBulkGrants, nowMillis);
		List<TargetHealth> notLeaving = new ArrayList<>();
		for (TargetSlots slots : this.targets.values()) {
			slots.advance(elapsedMillis);
			if (!slots.isLeaving()) {
				notLeaving.add(slots.health());
			}
		}
		if (this.outlierDetector.review(notLeaving, nowMillis)) {
			recountOpenTargets();
		}
	}

	List<Grant> expiredGrants(long nowMillis) {
		return this.grants.values().stream().filter((grant) -> grant.expiryMillis() < nowMillis).toList();
	}

}
