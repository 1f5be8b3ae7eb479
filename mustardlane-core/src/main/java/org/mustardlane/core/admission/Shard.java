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
import org.mustardlane.core.target.HealthReview;
import org.mustardlane.core.target.TargetHealth;

/**
 * The targets, grants and queue of one shard.
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class Shard {

	private static final int WHOLE_PERCENT = 100;

	private final ShardId id;

	private final PoolLoad pool;

	private final AskQueue queue;

	private final Map<AskKey, Grant> grants = new HashMap<>();

	private Map<TargetId, TargetSlots> targets = new LinkedHashMap<>();

	private final Map<OrganisationId, Integer> grantsByOrganisation = new HashMap<>();

	private final WorkMix work = new WorkMix();

	private final HealthReview health = new HealthReview();

	private int shortGranted;

	private boolean owned;

	private int openTargets;

	private int openSlots;

	private int openGranted;

	private long warmUpEndMillis;

	private int routerSharePercent = WHOLE_PERCENT;

	private long partialSinceMillis;

	Shard(ShardId id, PoolLoad pool, AskQueue queue) {
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

	AskQueue queue() {
		return this.queue;
	}

	boolean owned() {
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
	 * Takes the targets of a newer catalogue; what is known of those that stay is kept.
	 * @param members the targets
	 * @return the targets that are new here
	 */
	List<TargetSlots> setTargets(List<Target> members) {
		Map<TargetId, TargetSlots> next = new LinkedHashMap<>();
		List<TargetSlots> added = new ArrayList<>();
		List<Target> sorted = members.stream().sorted(Comparator.comparing(Target::id)).toList();
		for (Target member : sorted) {
			TargetSlots known = this.targets.get(member.id());
			TargetSlots slots = (known != null && known.target().equals(member)) ? known : new TargetSlots(member);
			next.put(member.id(), slots);
			if (slots != known) {
				added.add(slots);
				this.grants.values()
					.stream()
					.filter((grant) -> grant.target().equals(member.id()))
					.forEach(slots::adoptGrant);
			}
		}
		this.targets = next;
		recount();
		return added;
	}

	/**
	 * Counts the open targets and their grants again, after one was opened or closed.
	 */
	void recount() {
		int targetsBefore = this.openTargets;
		int grantedBefore = this.openGranted;
		this.openTargets = 0;
		this.openSlots = 0;
		this.openGranted = 0;
		this.warmUpEndMillis = 0;
		for (TargetSlots slots : this.targets.values()) {
			this.warmUpEndMillis = Math.max(this.warmUpEndMillis, slots.warmUpEndMillis());
			if (slots.isOpen()) {
				this.openTargets++;
				this.openSlots += slots.target().slots();
				this.openGranted += slots.granted();
			}
		}
		tellPool(this.openGranted - grantedBefore, this.openTargets - targetsBefore);
	}

	private void tellPool(int grantedChange, int targetsChange) {
		if (this.owned) {
			this.pool.changeOwn(grantedChange, targetsChange);
		}
	}

	private void countOpen(Grant grant, int change) {
		if (target(grant.target()).filter(TargetSlots::isOpen).isPresent()) {
			this.openGranted += change;
			tellPool(change, 0);
		}
	}

	long warmUpEndMillis() {
		return this.warmUpEndMillis;
	}

	WorkMix work() {
		return this.work;
	}

	boolean hasOpenTarget() {
		return this.openTargets > 0;
	}

	/**
	 * Returns the mean time until the next grant of the shard is given back.
	 * @return milliseconds
	 */
	double expectedReleaseMillis() {
		double releasesPerMilli = 0;
		for (TargetSlots slots : this.targets.values()) {
			releasesPerMilli += 1 / slots.expectedReleaseMillis();
		}
		return 1 / releasesPerMilli;
	}

	/**
	 * Tells whether some target may run a request.
	 * @param excluded targets that have failed the request
	 * @return false where all targets are leaving or excluded
	 */
	boolean hasTargetFor(Set<TargetId> excluded) {
		for (TargetSlots slots : this.targets.values()) {
			if (!slots.isLeaving() && !excluded.contains(slots.target().id())) {
				return true;
			}
		}
		return false;
	}

	int openTargets() {
		return this.openTargets;
	}

	int openSlots() {
		return this.openSlots;
	}

	int openGranted() {
		return this.openGranted;
	}

	/**
	 * Returns the load of the open targets for the mean of the pool.
	 * @param nowMillis the time
	 * @return the grants, and during a warm-up what is reported where that is more
	 */
	int openLoad(long nowMillis) {
		if (nowMillis >= this.warmUpEndMillis) {
			return this.openGranted;
		}
		int load = 0;
		for (TargetSlots slots : this.targets.values()) {
			load += slots.isOpen() ? slots.load(nowMillis) : 0;
		}
		return load;
	}

	/**
	 * Returns the part of a target's slots that this owner may grant.
	 * @param slots the target
	 * @param nowMillis the time
	 * @return the part in percent; below 100 where routers of the failure domain that may
	 * own the shard too are out of sight, unless reports show that they grant nothing
	 */
	int routerSharePercent(TargetSlots slots, long nowMillis) {
		boolean whole = this.routerSharePercent == WHOLE_PERCENT
				|| slots.isGrantedHereAlone(this.partialSinceMillis, nowMillis);
		return whole ? WHOLE_PERCENT : this.routerSharePercent;
	}

	void setRouterSharePercent(int percent, long nowMillis) {
		if (percent < this.routerSharePercent) {
			this.partialSinceMillis = nowMillis;
		}
		this.routerSharePercent = percent;
	}

	Collection<Grant> grants() {
		return this.grants.values();
	}

	List<Grant> grants(TargetId target) {
		return this.grants.values().stream().filter((grant) -> grant.target().equals(target)).toList();
	}

	Optional<Grant> grant(AskKey key) {
		return Optional.ofNullable(this.grants.get(key));
	}

	void addGrant(Grant grant) {
		put(grant);
		target(grant.target()).ifPresent((slots) -> slots.addGrant(grant));
	}

	/**
	 * Counts a grant that an earlier owner gave.
	 * @param grant the grant
	 */
	void adoptGrant(Grant grant) {
		put(grant);
		target(grant.target()).ifPresent((slots) -> slots.adoptGrant(grant));
	}

	private void put(Grant grant) {
		this.grants.put(grant.key(), grant);
		this.grantsByOrganisation.merge(grant.organisation(), 1, Integer::sum);
		this.shortGranted += (grant.serviceClass() == ServiceClass.BULK) ? 0 : 1;
		countOpen(grant, 1);
	}

	void renewGrant(Grant grant, long expiryMillis) {
		this.grants.put(grant.key(), grant.renewedUntil(expiryMillis));
	}

	void removeGrant(Grant grant) {
		if (!this.grants.remove(grant.key(), grant)) {
			return;
		}
		this.grantsByOrganisation.computeIfPresent(grant.organisation(),
				(organisation, count) -> (count > 1) ? count - 1 : null);
		this.shortGranted -= (grant.serviceClass() == ServiceClass.BULK) ? 0 : 1;
		countOpen(grant, -1);
		target(grant.target()).ifPresent((slots) -> slots.removeGrant(grant));
	}

	int granted(OrganisationId organisation) {
		return this.grantsByOrganisation.getOrDefault(organisation, 0);
	}

	/**
	 * Lets time pass: samples the mix of the work and reviews the health of the targets.
	 * @param millis the time that has passed
	 * @param nowMillis the time
	 */
	void review(long millis, long nowMillis) {
		this.work.sample(this.shortGranted, nowMillis);
		List<TargetHealth> staying = new ArrayList<>();
		for (TargetSlots slots : this.targets.values()) {
			slots.elapse(millis);
			if (!slots.isLeaving()) {
				staying.add(slots.health());
			}
		}
		if (this.health.review(staying, nowMillis)) {
			recount();
		}
	}

	List<Grant> lapsedGrants(long nowMillis) {
		return this.grants.values().stream().filter((grant) -> grant.expiryMillis() < nowMillis).toList();
	}

}
