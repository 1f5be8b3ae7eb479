package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.PollTarget;
import org.mustardlane.core.event.TargetPollFailed;
import org.mustardlane.core.event.TargetReported;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.message.Gossip;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.message.VmListRelay;
import org.mustardlane.core.model.common.LockRank;
import org.mustardlane.core.model.common.RankedLock;
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.target.LoadReport;

/**
 * Grants the capacity of the shards that this router owns.
 *
 * <p>
 * Thread-safe by one lock of rank {@link LockRank#ADMISSION}.
 */
public final class AdmissionHandler implements EventHandler {

	private static final int GRANT_ID_BITS = 24;

	private static final int HOUSEKEEPING_MILLIS = 50;

	private static final long LONGEST_STEP_MILLIS = 200;

	private final RankedLock lock = new RankedLock(LockRank.ADMISSION);

	private final AdmissionSettings settings;

	private final ShardTable table;

	private final Granter granter;

	private final LoadPublisher publisher;

	private boolean draining;

	private long housekeptAtMillis;

	/**
	 * Creates the handler with the chosen policy.
	 * @param self this router
	 * @param incarnationMillis start time of this process in milliseconds
	 */
	public AdmissionHandler(VmId self, long incarnationMillis) {
		this(self, incarnationMillis, AdmissionSettings.of(AdmissionPolicy.BOUNDED, incarnationMillis));
	}

	/**
	 * Creates the handler.
	 * @param self this router
	 * @param incarnationMillis start time of this process in milliseconds
	 * @param settings the tunable values
	 */
	public AdmissionHandler(VmId self, long incarnationMillis, AdmissionSettings settings) {
		this.settings = settings;
		this.granter = new Granter(settings, firstGrantId(self, incarnationMillis));
		this.table = new ShardTable(settings, this.granter::newQueue);
		this.publisher = new LoadPublisher(settings);
	}

	private static long firstGrantId(VmId self, long incarnationMillis) {
		long process = Rendezvous.hash(self.value() + '@' + incarnationMillis);
		return (process >>> (GRANT_ID_BITS + 1)) << GRANT_ID_BITS;
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return this.lock.locked(() -> {
			List<NodeAction> actions = new ArrayList<>();
			take(event, nowMillis, actions);
			return actions;
		});
	}

	/**
	 * Returns the loads of the shards that this router owns.
	 * @param nowMillis the time by the clock of this VM
	 * @return the loads
	 */
	public List<ShardLoad> ownLoads(long nowMillis) {
		return this.lock.locked(() -> this.table.ownedShards()
			.stream()
			.map((shard) -> LoadPublisher.load(shard, nowMillis, nowMillis))
			.toList());
	}

	/**
	 * Returns the targets of the shards that this router owns which take new work.
	 * @return the targets that are neither leaving nor eased out
	 */
	public Set<TargetId> openTargets() {
		return this.lock.locked(() -> this.table.ownedShards()
			.stream()
			.flatMap((shard) -> shard.targets().stream())
			.filter(TargetSlots::isOpen)
			.map((slots) -> slots.target().id())
			.collect(Collectors.toUnmodifiableSet()));
	}

	private void take(NodeEvent event, long nowMillis, List<NodeAction> actions) {
		if (event instanceof PeerMessageReceived received) {
			receive(received.sender(), received.message(), nowMillis, actions);
		}
		else if (event instanceof Tick) {
			tick(nowMillis, actions);
		}
		else if (event instanceof PeerUnreachable unreachable) {
			takeBack(unreachable, nowMillis, actions);
		}
		else if (event instanceof TargetReported reported) {
			report(reported.report(), nowMillis, actions);
		}
		else {
			learn(event, nowMillis, actions);
		}
	}

	private void learn(NodeEvent event, long nowMillis, List<NodeAction> actions) {
		if (event instanceof OwnershipChanged changed) {
			handBack(this.table.take(changed.ownership(), nowMillis), actions);
		}
		else if (event instanceof CatalogueChanged changed) {
			this.granter.take(changed.snapshot());
			handBack(this.table.take(changed.snapshot(), nowMillis), actions);
		}
		else if (event instanceof VmListRead read) {
			this.table.take(read.vmList(), nowMillis);
		}
		else if (event instanceof TargetPollFailed failed) {
			this.table.ownedShardOf(failed.target())
				.flatMap((shard) -> shard.target(failed.target()))
				.ifPresent((slots) -> slots.health().polled(false));
		}
		else if (event instanceof DrainRequested) {
			this.draining = true;
			handBack(this.table.ownedShards(), actions);
		}
	}

	private void receive(VmId sender, PeerMessage message, long nowMillis, List<NodeAction> actions) {
		if (message instanceof GrantAsk ask) {
			ask(sender, ask, nowMillis, actions);
		}
		else if (message instanceof GrantRelease release) {
			release(release, nowMillis, actions);
		}
		else if (message instanceof GrantRenewal renewal) {
			renew(sender, renewal, nowMillis);
		}
		else if (message instanceof ShardLoad load) {
			hear(load, nowMillis);
		}
		else if (message instanceof Gossip gossip) {
			gossip.shardLoads().forEach((load) -> hear(load, nowMillis));
		}
		else if (message instanceof VmListRelay relay) {
			this.table.take(relay.vmList(), nowMillis);
		}
	}

	private void ask(VmId sender, GrantAsk ask, long nowMillis, List<NodeAction> actions) {
		this.table.owned(ask.shard())
			.filter((owned) -> !this.draining)
			.ifPresentOrElse((shard) -> this.granter.ask(shard, sender, ask, nowMillis, actions),
					() -> actions.add(GrantAnswers.notOwner(sender, ask)));
	}

	private void release(GrantRelease release, long nowMillis, List<NodeAction> actions) {
		this.table.known(release.shard()).ifPresent((shard) -> {
			AskKey key = AskKey.of(release);
			if (release.grantId() == 0) {
				shard.queue().remove(key);
				return;
			}
			shard.grant(key)
				.filter((grant) -> grant.grantId() == release.grantId())
				.ifPresentOrElse((grant) -> end(shard, grant, release, nowMillis),
						() -> shard.target(release.target()).ifPresent(TargetSlots::releaseUnknown));
			this.granter.dispatch(shard, nowMillis, actions);
		});
	}

	private void end(Shard shard, Grant grant, GrantRelease release, long nowMillis) {
		shard.removeGrant(grant);
		if (release.cause() == ReleaseCause.UNUSED) {
			return;
		}
		shard.target(grant.target()).map(TargetSlots::health).ifPresent((health) -> {
			if (release.cause() == ReleaseCause.FAILED) {
				health.failed();
			}
			else {
				health.answered(release.timing(), grant.grantedAtMillis());
			}
		});
		if (release.cause() == ReleaseCause.COMPLETED) {
			this.granter.learn(grant, nowMillis);
		}
	}

	private void renew(VmId sender, GrantRenewal renewal, long nowMillis) {
		this.table.known(renewal.shard())
			.ifPresent((shard) -> renewal.grants().forEach((held) -> renew(shard, sender, held, nowMillis)));
	}

	private void renew(Shard shard, VmId sender, HeldGrant held, long nowMillis) {
		long expiryMillis = nowMillis + this.settings.grantLifeMillis();
		AskKey key = AskKey.of(held);
		shard.grant(key)
			.ifPresentOrElse((grant) -> shard.renewGrant(grant, expiryMillis),
					() -> shard.adoptGrant(new Grant(key, held.grantId(), sender, held.target(), Optional.empty(), 0,
							held.organisation(), held.serviceClass(), nowMillis, expiryMillis)));
	}

	private void hear(ShardLoad load, long nowMillis) {
		if (this.table.catalogue().shards().containsKey(load.shard())) {
			PoolLoad pool = this.table.pool(load.shard().pool());
			int rounds = 1 + pool.peers().size() / LoadPublisher.MOST_PEERS;
			pool.hear(load, nowMillis + (long) rounds * this.settings.loadLifeMillis());
		}
	}

	private void takeBack(PeerUnreachable unreachable, long nowMillis, List<NodeAction> actions) {
		if (unreachable.message() instanceof GrantAnswer answer && answer.verdict() == GrantVerdict.GRANTED) {
			this.table.known(answer.shard()).ifPresent((shard) -> {
				shard.grant(new AskKey(answer.requestId(), answer.attempt()))
					.filter((grant) -> grant.grantId() == answer.grantId())
					.ifPresent(shard::removeGrant);
				this.granter.dispatch(shard, nowMillis, actions);
			});
		}
	}

	private void report(LoadReport report, long nowMillis, List<NodeAction> actions) {
		this.table.ownedShardOf(report.target()).ifPresent((shard) -> {
			shard.target(report.target()).ifPresent((slots) -> {
				slots.report(report, shard.grants(report.target()), nowMillis);
				slots.health().polled(true);
			});
			shard.recount();
			this.granter.dispatch(shard, nowMillis, actions);
		});
	}

	private void handBack(List<Shard> shards, List<NodeAction> actions) {
		for (Shard shard : shards) {
			shard.queue()
				.removeAll()
				.forEach((pending) -> actions.add(GrantAnswers.notOwner(pending.sender(), pending.ask())));
			this.publisher.forget(shard.id());
		}
	}

	private void tick(long nowMillis, List<NodeAction> actions) {
		if (nowMillis >= this.housekeptAtMillis + HOUSEKEEPING_MILLIS) {
			keepHouse(nowMillis);
			this.housekeptAtMillis = nowMillis;
		}
		for (Shard shard : this.table.ownedShards()) {
			this.granter.dispatch(shard, nowMillis, actions);
			this.granter.redirect(shard, nowMillis, actions);
			this.granter.refuseLate(shard, nowMillis, actions);
			this.publisher.publish(shard, nowMillis, actions);
			poll(shard, nowMillis, actions);
		}
	}

	private void keepHouse(long nowMillis) {
		long passedMillis = Math.min(nowMillis - this.housekeptAtMillis, LONGEST_STEP_MILLIS);
		this.table.pools().forEach((pool) -> pool.forgetOld(nowMillis));
		for (Shard shard : this.table.knownShards()) {
			shard.lapsedGrants(nowMillis).forEach(shard::removeGrant);
			if (this.settings.policy() == AdmissionPolicy.BOUNDED) {
				shard.review(passedMillis, nowMillis);
			}
		}
		this.table.forgetEmpty();
	}

	private void poll(Shard shard, long nowMillis, List<NodeAction> actions) {
		shard.targets()
			.stream()
			.filter((slots) -> slots.takePollDue(nowMillis, this.settings.pollIntervalMillis()))
			.forEach((slots) -> actions.add(new PollTarget(slots.target())));
	}

}
