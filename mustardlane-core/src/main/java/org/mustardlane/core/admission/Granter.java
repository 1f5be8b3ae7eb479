package org.mustardlane.core.admission;

import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.core.chat.ShardRoute;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Decides asks: grants, queues, redirects or refuses.
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class Granter {

	private static final int REDIRECTS_PER_TICK = 8;

	// More urgent work that comes later goes ahead of what waits.
	private static final double BACKLOG_MARGIN = 1.5;

	private final AdmissionSettings settings;

	private final TargetChoice choice;

	private final ServiceTimes serviceTimes = new ServiceTimes();

	private final RetrySchedule retries;

	private OrganisationShares shares = new OrganisationShares(CatalogueSnapshot.EMPTY);

	private ShardRoute route = new ShardRoute(CatalogueSnapshot.EMPTY);

	private long lastGrantId;

	Granter(AdmissionSettings settings, long firstGrantId) {
		this.settings = settings;
		this.choice = isNaive() ? new RoundRobinChoice() : new BoundedLoadChoice(settings);
		this.retries = new RetrySchedule(RandomSource.SPLIT_MIX_64.create(settings.seed()));
		this.lastGrantId = firstGrantId;
	}

	private boolean isNaive() {
		return this.settings.policy() == AdmissionPolicy.NAIVE;
	}

	void take(CatalogueSnapshot catalogue) {
		this.shares = new OrganisationShares(catalogue);
		this.route = new ShardRoute(catalogue);
	}

	AskQueue newQueue() {
		return isNaive() ? new FifoAskQueue() : new FairAskQueue(this::weight);
	}

	private int weight(OrganisationId organisation) {
		return this.shares.weight(organisation);
	}

	/**
	 * Decides an ask that has arrived.
	 * @param shard the shard
	 * @param sender the router that asks
	 * @param ask the ask
	 * @param nowMillis the time
	 * @param actions takes the answer
	 */
	void ask(Shard shard, VmId sender, GrantAsk ask, long nowMillis, List<NodeAction> actions) {
		AskKey key = AskKey.of(ask);
		Optional<Grant> earlier = shard.grant(key);
		if (earlier.isPresent()) {
			actions.add(GrantAnswers.granted(sender, ask, earlier.get()));
		}
		else if (!shard.queue().contains(key)) {
			shard.work().arrived(ask.serviceClass(), nowMillis);
			long workMillis = this.serviceTimes.meanMillis(ask.entry(), ask.expectedWorkMillis());
			long latestStartMillis = ask.deadlineMillis()
					- this.serviceTimes.highMillis(ask.entry(), ask.expectedWorkMillis());
			PendingAsk pending = new PendingAsk(key, sender, ask, nowMillis, workMillis, latestStartMillis, 0);
			decide(shard, pending, nowMillis, actions);
		}
	}

	private void decide(Shard shard, PendingAsk pending, long nowMillis, List<NodeAction> actions) {
		if (pending.ask().deadlineMillis() <= nowMillis) {
			actions.add(refuse(shard, pending, RefusalCode.DEADLINE_PASSED, nowMillis));
			return;
		}
		PendingAsk atHome = pending.waitingForHomeUntil(homeOnlyUntilMillis(shard, pending, nowMillis));
		if (place(shard, atHome, nowMillis, actions)) {
			return;
		}
		if (atHome.homeOnlyUntilMillis() > nowMillis) {
			shard.queue().add(atHome);
			return;
		}
		Optional<ShardId> other = pending.ask().mayQueue() ? Optional.empty()
				: shardWithRoom(shard, pending.ask(), nowMillis);
		if (other.isPresent()) {
			actions.add(GrantAnswers.redirected(pending, other.get()));
		}
		else {
			queue(shard, pending, nowMillis, actions);
		}
	}

	private long homeOnlyUntilMillis(Shard shard, PendingAsk pending, long nowMillis) {
		long waitMillis = this.choice.homeWaitMillis(shard, pending, nowMillis);
		boolean patient = waitMillis > 0 && nowMillis + waitMillis <= pending.latestStartMillis()
				&& !isAtLimit(shard, pending);
		return (patient && this.route.isHome(shard.id(), pending.ask().chatHash())) ? nowMillis + waitMillis : 0;
	}

	private Optional<ShardId> shardWithRoom(Shard shard, GrantAsk ask, long nowMillis) {
		int bound = shard.pool().bound(nowMillis);
		if (!shard.pool().hasRoomElsewhere(shard, bound, nowMillis)) {
			return Optional.empty();
		}
		return this.route.route(shard.id().pool(), ask.chatHash())
			.stream()
			.filter((other) -> !other.equals(shard.id()))
			.filter((other) -> shard.pool()
				.find(other, nowMillis)
				.filter((load) -> hasRoom(load, ask, bound))
				.isPresent())
			.findFirst();
	}

	private static boolean hasRoom(ShardLoad load, GrantAsk ask, int bound) {
		boolean bulkWaits = ask.serviceClass() == ServiceClass.BULK && load.queued() > 0;
		return !bulkWaits && PoolLoad.hasRoom(load, bound);
	}

	private void queue(Shard shard, PendingAsk pending, long nowMillis, List<NodeAction> actions) {
		if (!shard.hasTargetFor(pending.ask().excludedTargets())) {
			actions.add(refuse(shard, pending, RefusalCode.NO_TARGET, nowMillis));
		}
		else if (nowMillis + BACKLOG_MARGIN * backlogMillis(shard, pending) > pending.latestStartMillis()) {
			RefusalCode code = isAtLimit(shard, pending) ? RefusalCode.LIMIT_REACHED : RefusalCode.OVERLOADED;
			actions.add(refuse(shard, pending, code, nowMillis));
		}
		else if (shard.queue().size() < this.settings.queueLimit() || evict(shard, pending, nowMillis, actions)) {
			shard.queue().add(pending);
		}
		else {
			actions.add(refuse(shard, pending, RefusalCode.OVERLOADED, nowMillis));
		}
	}

	private boolean evict(Shard shard, PendingAsk pending, long nowMillis, List<NodeAction> actions) {
		Optional<PendingAsk> evicted = shard.queue().removeLastBelow(pending.ask().serviceClass());
		evicted.ifPresent((lower) -> actions.add(refuse(shard, lower, RefusalCode.OVERLOADED, nowMillis)));
		return evicted.isPresent();
	}

	private double backlogMillis(Shard shard, PendingAsk pending) {
		int slots = Math.max(1, shard.openSlots());
		int limit = isAtLimit(shard, pending) ? Math.max(1, limit(shard, pending)) : slots;
		return shard.queue().workAheadMillis(pending) / (double) Math.min(slots, limit);
	}

	private int limit(Shard shard, PendingAsk pending) {
		return this.shares.limit(shard.id(), pending.ask().organisation());
	}

	private boolean isAtLimit(Shard shard, PendingAsk pending) {
		return !isNaive() && shard.granted(pending.ask().organisation()) >= limit(shard, pending);
	}

	/**
	 * Grants what waits and fits.
	 * @param shard the shard
	 * @param nowMillis the time
	 * @param actions takes the answers
	 */
	void dispatch(Shard shard, long nowMillis, List<NodeAction> actions) {
		boolean placed = true;
		while (placed && shard.queue().size() > 0) {
			placed = shard.queue().removeFirst((pending) -> place(shard, pending, nowMillis, actions));
		}
	}

	private boolean place(Shard shard, PendingAsk pending, long nowMillis, List<NodeAction> actions) {
		if (isAtLimit(shard, pending)) {
			return false;
		}
		Optional<TargetSlots> chosen = this.choice.choose(shard, pending, nowMillis);
		chosen.ifPresent((slots) -> {
			GrantAsk ask = pending.ask();
			this.lastGrantId++;
			Grant grant = new Grant(pending.key(), this.lastGrantId, pending.sender(), slots.target().id(),
					Optional.of(ask.entry()), pending.workMillis(), ask.organisation(), ask.serviceClass(), nowMillis,
					nowMillis + this.settings.grantLifeMillis());
			shard.addGrant(grant);
			actions.add(GrantAnswers.granted(pending.sender(), ask, grant));
		});
		return chosen.isPresent();
	}

	/**
	 * Sends asks that came without leave to queue to shards that have room by now.
	 * @param shard the shard
	 * @param nowMillis the time
	 * @param actions takes the answers
	 */
	void redirect(Shard shard, long nowMillis, List<NodeAction> actions) {
		boolean moved = !isNaive() && shard.pool().hasRoomElsewhere(shard, shard.pool().bound(nowMillis), nowMillis);
		for (int i = 0; moved && i < REDIRECTS_PER_TICK && shard.queue().size() > 0; i++) {
			moved = shard.queue().removeFirst((pending) -> redirect(shard, pending, nowMillis, actions));
		}
	}

	private boolean redirect(Shard shard, PendingAsk pending, long nowMillis, List<NodeAction> actions) {
		if (pending.ask().mayQueue() || pending.homeOnlyUntilMillis() > nowMillis) {
			return false;
		}
		Optional<ShardId> other = shardWithRoom(shard, pending.ask(), nowMillis);
		other.ifPresent((room) -> actions.add(GrantAnswers.redirected(pending, room)));
		return other.isPresent();
	}

	/**
	 * Refuses what can no longer meet its deadline.
	 * @param shard the shard
	 * @param nowMillis the time
	 * @param actions takes the answers
	 */
	void refuseLate(Shard shard, long nowMillis, List<NodeAction> actions) {
		shard.queue()
			.removeLate(nowMillis)
			.forEach((pending) -> actions.add(refuse(shard, pending, RefusalCode.OVERLOADED, nowMillis)));
	}

	private NodeAction refuse(Shard shard, PendingAsk pending, RefusalCode code, long nowMillis) {
		double paceMillis = pending.workMillis() / (double) Math.max(1, shard.openSlots());
		long retryAfterMillis = this.retries.retryAfterMillis(pending.ask().serviceClass(),
				backlogMillis(shard, pending), paceMillis, nowMillis);
		return GrantAnswers.refused(pending, code, retryAfterMillis);
	}

	/**
	 * Learns from the end of a grant.
	 * @param grant the grant
	 * @param nowMillis the time
	 */
	void learn(Grant grant, long nowMillis) {
		grant.entry()
			.ifPresent((entry) -> this.serviceTimes.add(entry, nowMillis - grant.grantedAtMillis(), nowMillis));
	}

}
