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
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.message.VmListRelay;
import org.mustardlane.core.model.common.LockRank;
import org.mustardlane.core.model.common.RankedLock;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.target.LoadReport;

/**
 * Grants slots of targets in the shards that this router owns.
 *
 * <p>
 * Thread-safe: one lock of rank {@link LockRank#ADMISSION} guards all state.
 */
public final class AdmissionHandler implements EventHandler {

	private static final int GRANT_COUNTER_BITS = 24;

	private static final int MAINTENANCE_INTERVAL_MILLIS = 50;

	private static final long MAX_ELAPSED_MILLIS = 200;

	private final RankedLock lock = new RankedLock(LockRank.ADMISSION);

	private final AdmissionSettings settings;

	private final ShardTable shardTable;

	private final GrantScheduler scheduler;

	private final LoadPublisher loadPublisher;

	private boolean draining;

	private long lastMaintenanceMillis;

	/**
	 * Creates the handler with the bounded-load policy and the default settings.
	 * @param self the VM of this router
	 * @param incarnationMillis start time of this process in milliseconds
	 */
	public AdmissionHandler(VmId self, long incarnationMillis) {
		this(self, incarnationMillis, AdmissionSettings.defaults(AdmissionPolicy.BOUNDED, incarnationMillis));
	}

	/**
	 * Creates the handler.
	 * @param self the VM of this router
	 * @param incarnationMillis start time of this process in milliseconds
	 * @param settings the limits and intervals of admission
	 */
	public AdmissionHandler(VmId self, long incarnationMillis, AdmissionSettings settings) {
		this.settings = settings;
		this.scheduler = new GrantScheduler(settings, firstGrantId(self, incarnationMillis));
		this.shardTable = new ShardTable(settings, this.scheduler::newQueue);
		this.loadPublisher = new LoadPublisher(settings);
	}

	private static long firstGrantId(VmId self, long incarnationMillis) {
		long processHash = RendezvousHash.hash(self.value() + '@' + incarnationMillis);
		return (processHash >>> (GRANT_COUNTER_BITS + 1)) << GRANT_COUNTER_BITS;
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return this.lock.callLocked(() -> {
			List<NodeAction> actions = new ArrayList<>();
			handleEvent(event, nowMillis, actions);
			return actions;
		});
	}

	/**
	 * Returns the current loads of the shards that this router owns.
	 * @param nowMillis the current time in milliseconds
	 * @return one load per owned shard
	 */
	public List<ShardLoad> ownedShardLoads(long nowMillis) {
		return this.lock.callLocked(() -> this.shardTable.ownedShards()
			.stream()
			.map((shard) -> LoadPublisher.currentLoad(shard, nowMillis, nowMillis))
			.toList());
	}

	/**
	 * Returns the targets in owned shards that accept new requests.
	 * @return the targets that are neither leaving nor closed by their health
	 */
	public Set<TargetId> openTargets() {
		return this.lock.callLocked(() -> this.shardTable.ownedShards()
			.stream()
			.flatMap((shard) -> shard.targets().stream())
			.filter(TargetSlots::isOpen)
			.map((slots) -> slots.target().id())
			.collect(Collectors.toUnmodifiableSet()));
	}

	private void handleEvent(NodeEvent event, long nowMillis, List<NodeAction> actions) {
		if (event instanceof PeerMessageReceived received) {
			handleMessage(received.sender(), received.message(), nowMillis, actions);
		}
		else if (event instanceof Tick) {
			handleTick(nowMillis, actions);
		}
		else if (event instanceof PeerUnreachable unreachable) {
			revokeUndeliveredGrant(unreachable, nowMillis, actions);
		}
		else if (event instanceof TargetReported reported) {
			handleLoadReport(reported.report(), nowMillis, actions);
		}
		else {
			handleStateChange(event, nowMillis, actions);
		}
	}

	private void handleStateChange(NodeEvent event, long nowMillis, List<NodeAction> actions) {
		if (event instanceof OwnershipChanged changed) {
			returnQueuedRequests(this.shardTable.update(changed.ownership(), nowMillis), actions);
		}
		else if (event instanceof CatalogueChanged changed) {
			this.scheduler.updateCatalogue(changed.snapshot());
			returnQueuedRequests(this.shardTable.update(changed.snapshot(), nowMillis), actions);
		}
		else if (event instanceof VmListRead read) {
			this.shardTable.update(read.vmList(), nowMillis);
		}
		else if (event instanceof TargetPollFailed failed) {
			this.shardTable.ownedShardOf(failed.target())
				.flatMap((shard) -> shard.target(failed.target()))
				.ifPresent((slots) -> slots.health().recordPoll(false));
		}
		else if (event instanceof DrainRequested) {
			this.draining = true;
			returnQueuedRequests(this.shardTable.ownedShards(), actions);
		}
	}

	private void handleMessage(VmId sender, PeerMessage message, long nowMillis, List<NodeAction> actions) {
		if (message instanceof GrantRequest request) {
			handleGrantRequest(sender, request, nowMillis, actions);
		}
		else if (message instanceof GrantRelease release) {
			handleRelease(release, nowMillis, actions);
		}
		else if (message instanceof GrantRenewal renewal) {
			handleRenewal(sender, renewal, nowMillis);
		}
		else if (message instanceof ShardLoad load) {
			recordPeerLoad(load, nowMillis);
		}
		else if (message instanceof Gossip gossip) {
			gossip.shardLoads().forEach((load) -> recordPeerLoad(load, nowMillis));
		}
		else if (message instanceof VmListRelay relay) {
			this.shardTable.update(relay.vmList(), nowMillis);
		}
	}

	private void handleGrantRequest(VmId sender, GrantRequest request, long nowMillis, List<NodeAction> actions) {
		this.shardTable.findOwned(request.shard())
			.filter((ownedShard) -> !this.draining)
			.ifPresentOrElse((shard) -> this.scheduler.handleRequest(shard, sender, request, nowMillis, actions),
					() -> actions.add(GrantReplies.createNotOwner(sender, request)));
	}

	private void handleRelease(GrantRelease release, long nowMillis, List<NodeAction> actions) {
		this.shardTable.find(release.shard()).ifPresent((shard) -> {
			AttemptKey key = AttemptKey.of(release);
			if (release.grantId() == 0) {
				shard.queue().remove(key);
				return;
			}
			shard.grant(key)
				.filter((grant) -> grant.grantId() == release.grantId())
				.ifPresentOrElse((grant) -> endGrant(shard, grant, release, nowMillis),
						() -> shard.target(release.target()).ifPresent(TargetSlots::countReportedRelease));
			this.scheduler.grantQueued(shard, nowMillis, actions);
		});
	}

	private void endGrant(Shard shard, Grant grant, GrantRelease release, long nowMillis) {
		shard.removeGrant(grant);
		if (release.cause() == ReleaseCause.UNUSED) {
			return;
		}
		shard.target(grant.target()).map(TargetSlots::health).ifPresent((health) -> {
			if (release.cause() == ReleaseCause.FAILED) {
				health.recordFailure();
			}
			else {
				health.recordResponse(release.timing(), grant.grantedAtMillis());
			}
		});
		if (release.cause() == ReleaseCause.COMPLETED) {
			this.scheduler.recordServiceTime(grant, nowMillis);
		}
	}

	private void handleRenewal(VmId sender, GrantRenewal renewal, long nowMillis) {
		this.shardTable.find(renewal.shard())
			.ifPresent((shard) -> renewal.grants()
				.forEach((heldGrant) -> renewOrAdopt(shard, sender, heldGrant, nowMillis)));
	}

	private void renewOrAdopt(Shard shard, VmId sender, HeldGrant heldGrant, long nowMillis) {
		long expiryMillis = nowMillis + this.settings.grantLeaseMillis();
		AttemptKey key = AttemptKey.of(heldGrant);
		shard.grant(key)
			.ifPresentOrElse((grant) -> shard.renewGrant(grant, expiryMillis),
					() -> shard
						.adoptGrant(new Grant(key, heldGrant.grantId(), sender, heldGrant.target(), Optional.empty(), 0,
								heldGrant.organisation(), heldGrant.serviceClass(), nowMillis, expiryMillis)));
	}

	private void recordPeerLoad(ShardLoad load, long nowMillis) {
		if (this.shardTable.catalogue().shards().containsKey(load.shard())) {
			PoolLoad pool = this.shardTable.pool(load.shard().pool());
			int publishRounds = 1 + pool.peers().size() / LoadPublisher.MAX_PEERS_PER_ROUND;
			pool.recordPeerLoad(load, nowMillis + (long) publishRounds * this.settings.loadValidityMillis());
		}
	}

	private void revokeUndeliveredGrant(PeerUnreachable unreachable, long nowMillis, List<NodeAction> actions) {
		if (unreachable.message() instanceof GrantReply reply && reply.verdict() == GrantVerdict.GRANTED) {
			this.shardTable.find(reply.shard()).ifPresent((shard) -> {
				shard.grant(new AttemptKey(reply.requestId(), reply.attempt()))
					.filter((grant) -> grant.grantId() == reply.grantId())
					.ifPresent(shard::removeGrant);
				this.scheduler.grantQueued(shard, nowMillis, actions);
			});
		}
	}

	private void handleLoadReport(LoadReport report, long nowMillis, List<NodeAction> actions) {
		this.shardTable.ownedShardOf(report.target()).ifPresent((shard) -> {
			shard.target(report.target()).ifPresent((slots) -> {
				slots.applyReport(report, shard.grants(report.target()), nowMillis);
				slots.health().recordPoll(true);
			});
			shard.recountOpenTargets();
			this.scheduler.grantQueued(shard, nowMillis, actions);
		});
	}

	private void returnQueuedRequests(List<Shard> shards, List<NodeAction> actions) {
		for (Shard shard : shards) {
			shard.queue()
				.removeAll()
				.forEach((pending) -> actions.add(GrantReplies.createNotOwner(pending.sender(), pending.request())));
			this.loadPublisher.forget(shard.id());
		}
	}

	private void handleTick(long nowMillis, List<NodeAction> actions) {
		if (nowMillis >= this.lastMaintenanceMillis + MAINTENANCE_INTERVAL_MILLIS) {
			runMaintenance(nowMillis);
			this.lastMaintenanceMillis = nowMillis;
		}
		for (Shard shard : this.shardTable.ownedShards()) {
			this.scheduler.grantQueued(shard, nowMillis, actions);
			this.scheduler.redirectQueued(shard, nowMillis, actions);
			this.scheduler.refuseOverdue(shard, nowMillis, actions);
			this.loadPublisher.publishIfDue(shard, nowMillis, actions);
			pollDueTargets(shard, nowMillis, actions);
		}
	}

	private void runMaintenance(long nowMillis) {
		long elapsedMillis = Math.min(nowMillis - this.lastMaintenanceMillis, MAX_ELAPSED_MILLIS);
		this.shardTable.pools().forEach((pool) -> pool.removeExpiredLoads(nowMillis));
		for (Shard shard : this.shardTable.allShards()) {
			shard.expiredGrants(nowMillis).forEach(shard::removeGrant);
			if (this.settings.policy() == AdmissionPolicy.BOUNDED) {
				shard.advance(elapsedMillis, nowMillis);
			}
		}
		this.shardTable.removeEmptyShards();
	}

	private void pollDueTargets(Shard shard, long nowMillis, List<NodeAction> actions) {
		shard.targets()
			.stream()
			.filter((slots) -> slots.advancePollIfDue(nowMillis, this.settings.pollIntervalMillis()))
			.forEach((slots) -> actions.add(new PollTarget(slots.target())));
	}

}
