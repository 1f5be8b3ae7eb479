package org.mustardlane.core.admission;

import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.core.chat.ShardRanking;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Grants, queues, redirects or refuses grant requests.
 *
 * <p>
 * Not thread-safe; guarded by the lock of {@link AdmissionHandler}.
 */
final class GrantScheduler {

	private static final int MAX_REDIRECTS_PER_TICK = 8;

	// More urgent requests that arrive later overtake the queued ones.
	private static final double WAIT_SAFETY_FACTOR = 1.5;

	private final AdmissionSettings settings;

	private final TargetSelector selector;

	private final ServiceTimes serviceTimes = new ServiceTimes();

	private final RetrySchedule retrySchedule;

	private OrganisationShares shares = new OrganisationShares(CatalogueSnapshot.EMPTY);

	private ShardRanking shardRanking = new ShardRanking(CatalogueSnapshot.EMPTY);

	private long lastGrantId;

	GrantScheduler(AdmissionSettings settings, long firstGrantId) {
		this.settings = settings;
		this.selector = isNaive() ? new RoundRobinSelector() : new BoundedLoadSelector(settings);
		this.retrySchedule = new RetrySchedule(RandomSource.SPLIT_MIX_64.create(settings.seed()));
		this.lastGrantId = firstGrantId;
	}

	private boolean isNaive() {
		return this.settings.policy() == AdmissionPolicy.NAIVE;
	}

	void updateCatalogue(CatalogueSnapshot catalogue) {
		this.shares = new OrganisationShares(catalogue);
		this.shardRanking = new ShardRanking(catalogue);
	}

	RequestQueue newQueue() {
		return isNaive() ? new FifoRequestQueue() : new FairRequestQueue(this::weight);
	}

	private int weight(OrganisationId organisation) {
		return this.shares.weight(organisation);
	}

	/**
	 * Handles a grant request that has arrived.
	 * @param shard the shard
	 * @param sender the router that sent the request
	 * @param request the grant request
	 * @param nowMillis the current time in milliseconds
	 * @param actions the list to which replies are added
	 */
	void handleRequest(Shard shard, VmId sender, GrantRequest request, long nowMillis, List<NodeAction> actions) {
		AttemptKey key = AttemptKey.of(request);
		Optional<Grant> existing = shard.grant(key);
		if (existing.isPresent()) {
			actions.add(GrantReplies.createGrant(sender, request, existing.get()));
		}
		else if (!shard.queue().contains(key)) {
			shard.recentDemand().recordArrival(request.serviceClass(), nowMillis);
			long serviceMillis = this.serviceTimes.meanMillis(request.entry(), request.expectedWorkMillis());
			long latestStartMillis = request.deadlineMillis()
					- this.serviceTimes.upperMillis(request.entry(), request.expectedWorkMillis());
			PendingRequest pending = new PendingRequest(key, sender, request, nowMillis, serviceMillis,
					latestStartMillis, 0);
			admit(shard, pending, nowMillis, actions);
		}
	}

	private void admit(Shard shard, PendingRequest pending, long nowMillis, List<NodeAction> actions) {
		if (pending.request().deadlineMillis() <= nowMillis) {
			actions.add(refuse(shard, pending, RefusalCode.DEADLINE_PASSED, nowMillis));
			return;
		}
		PendingRequest withHomeWait = pending.withHomeWaitDeadline(homeWaitDeadlineMillis(shard, pending, nowMillis));
		if (tryGrant(shard, withHomeWait, nowMillis, actions)) {
			return;
		}
		if (withHomeWait.homeWaitDeadlineMillis() > nowMillis) {
			shard.queue().add(withHomeWait);
			return;
		}
		Optional<ShardId> otherShard = pending.request().mayQueue() ? Optional.empty()
				: findShardWithRoom(shard, pending.request(), nowMillis);
		if (otherShard.isPresent()) {
			actions.add(GrantReplies.createRedirect(pending, otherShard.get()));
		}
		else {
			enqueueOrRefuse(shard, pending, nowMillis, actions);
		}
	}

	private long homeWaitDeadlineMillis(Shard shard, PendingRequest pending, long nowMillis) {
		long waitMillis = this.selector.homeWaitMillis(shard, pending, nowMillis);
		boolean canWait = waitMillis > 0 && nowMillis + waitMillis <= pending.latestStartMillis()
				&& !isOrganisationAtLimit(shard, pending);
		return (canWait && this.shardRanking.isHomeShard(shard.id(), pending.request().chatHash()))
				? nowMillis + waitMillis : 0;
	}

	private Optional<ShardId> findShardWithRoom(Shard shard, GrantRequest request, long nowMillis) {
		int loadBound = shard.pool().loadBound(nowMillis);
		if (!shard.pool().hasRoomElsewhere(shard, loadBound, nowMillis)) {
			return Optional.empty();
		}
		return this.shardRanking.rankShards(shard.id().pool(), request.chatHash())
			.stream()
			.filter((candidate) -> !candidate.equals(shard.id()))
			.filter((candidate) -> shard.pool()
				.findLoad(candidate, nowMillis)
				.filter((load) -> hasRoom(load, request, loadBound))
				.isPresent())
			.findFirst();
	}

	private static boolean hasRoom(ShardLoad load, GrantRequest request, int loadBound) {
		boolean isBulkQueued = request.serviceClass() == ServiceClass.BULK && load.queued() > 0;
		return !isBulkQueued && PoolLoad.hasRoom(load, loadBound);
	}

	private void enqueueOrRefuse(Shard shard, PendingRequest pending, long nowMillis, List<NodeAction> actions) {
		if (!shard.hasUsableTarget(pending.request().excludedTargets())) {
			actions.add(refuse(shard, pending, RefusalCode.NO_TARGET, nowMillis));
		}
		else if (nowMillis + WAIT_SAFETY_FACTOR * expectedWaitMillis(shard, pending) > pending.latestStartMillis()) {
			RefusalCode code = isOrganisationAtLimit(shard, pending) ? RefusalCode.LIMIT_REACHED
					: RefusalCode.OVERLOADED;
			actions.add(refuse(shard, pending, code, nowMillis));
		}
		else if (shard.queue().size() < this.settings.queueLimit() || evict(shard, pending, nowMillis, actions)) {
			shard.queue().add(pending);
		}
		else {
			actions.add(refuse(shard, pending, RefusalCode.OVERLOADED, nowMillis));
		}
	}

	private boolean evict(Shard shard, PendingRequest pending, long nowMillis, List<NodeAction> actions) {
		Optional<PendingRequest> evicted = shard.queue().removeLastBelow(pending.request().serviceClass());
		evicted.ifPresent(
				(evictedRequest) -> actions.add(refuse(shard, evictedRequest, RefusalCode.OVERLOADED, nowMillis)));
		return evicted.isPresent();
	}

	private double expectedWaitMillis(Shard shard, PendingRequest pending) {
		int slots = Math.max(1, shard.slotsOfOpenTargets());
		int limit = isOrganisationAtLimit(shard, pending) ? Math.max(1, organisationLimit(shard, pending)) : slots;
		return shard.queue().backlogAheadMillis(pending) / (double) Math.min(slots, limit);
	}

	private int organisationLimit(Shard shard, PendingRequest pending) {
		return this.shares.limit(shard.id(), pending.request().organisation());
	}

	private boolean isOrganisationAtLimit(Shard shard, PendingRequest pending) {
		return !isNaive() && shard.grantCount(pending.request().organisation()) >= organisationLimit(shard, pending);
	}

	/**
	 * Grants queued requests, in queue order, as long as slots are free.
	 * @param shard the shard
	 * @param nowMillis the current time in milliseconds
	 * @param actions the list to which replies are added
	 */
	void grantQueued(Shard shard, long nowMillis, List<NodeAction> actions) {
		boolean granted = true;
		while (granted && shard.queue().size() > 0) {
			granted = shard.queue().removeFirst((pending) -> tryGrant(shard, pending, nowMillis, actions));
		}
	}

	private boolean tryGrant(Shard shard, PendingRequest pending, long nowMillis, List<NodeAction> actions) {
		if (isOrganisationAtLimit(shard, pending)) {
			return false;
		}
		Optional<TargetSlots> chosen = this.selector.choose(shard, pending, nowMillis);
		chosen.ifPresent((slots) -> {
			GrantRequest request = pending.request();
			this.lastGrantId++;
			Grant grant = new Grant(pending.key(), this.lastGrantId, pending.sender(), slots.target().id(),
					Optional.of(request.entry()), pending.serviceMillis(), request.organisation(),
					request.serviceClass(), nowMillis, nowMillis + this.settings.grantLeaseMillis());
			shard.addGrant(grant);
			actions.add(GrantReplies.createGrant(pending.sender(), request, grant));
		});
		return chosen.isPresent();
	}

	/**
	 * Redirects queued requests whose routers did not allow queueing to shards that have
	 * room.
	 * @param shard the shard
	 * @param nowMillis the current time in milliseconds
	 * @param actions the list to which replies are added
	 */
	void redirectQueued(Shard shard, long nowMillis, List<NodeAction> actions) {
		boolean redirected = !isNaive()
				&& shard.pool().hasRoomElsewhere(shard, shard.pool().loadBound(nowMillis), nowMillis);
		for (int i = 0; redirected && i < MAX_REDIRECTS_PER_TICK && shard.queue().size() > 0; i++) {
			redirected = shard.queue().removeFirst((pending) -> tryRedirect(shard, pending, nowMillis, actions));
		}
	}

	private boolean tryRedirect(Shard shard, PendingRequest pending, long nowMillis, List<NodeAction> actions) {
		if (pending.request().mayQueue() || pending.homeWaitDeadlineMillis() > nowMillis) {
			return false;
		}
		Optional<ShardId> otherShard = findShardWithRoom(shard, pending.request(), nowMillis);
		otherShard.ifPresent((otherShardId) -> actions.add(GrantReplies.createRedirect(pending, otherShardId)));
		return otherShard.isPresent();
	}

	/**
	 * Refuses the queued requests that can no longer meet their deadlines.
	 * @param shard the shard
	 * @param nowMillis the current time in milliseconds
	 * @param actions the list to which replies are added
	 */
	void refuseOverdue(Shard shard, long nowMillis, List<NodeAction> actions) {
		shard.queue()
			.removeOverdue(nowMillis)
			.forEach((pending) -> actions.add(refuse(shard, pending, RefusalCode.OVERLOADED, nowMillis)));
	}

	private NodeAction refuse(Shard shard, PendingRequest pending, RefusalCode code, long nowMillis) {
		double serviceIntervalMillis = pending.serviceMillis() / (double) Math.max(1, shard.slotsOfOpenTargets());
		long retryAfterMillis = this.retrySchedule.bookRetry(pending.request().serviceClass(),
				expectedWaitMillis(shard, pending), serviceIntervalMillis, nowMillis);
		return GrantReplies.createRefusal(pending, code, retryAfterMillis);
	}

	/**
	 * Records the service time of a completed grant.
	 * @param grant the completed grant
	 * @param nowMillis the current time in milliseconds
	 */
	void recordServiceTime(Grant grant, long nowMillis) {
		grant.entry()
			.ifPresent((entry) -> this.serviceTimes.add(entry, nowMillis - grant.grantedAtMillis(), nowMillis));
	}

}
