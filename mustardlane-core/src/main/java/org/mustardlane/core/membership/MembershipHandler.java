package org.mustardlane.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.RaiseEvent;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.message.Gossip;
import org.mustardlane.core.message.VmListRelay;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.LockRank;
import org.mustardlane.core.model.common.RankedLock;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmHeartbeat;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;

/**
 * Tracks which routers are alive. The VM list names the routers, and their heartbeats
 * show which of them are alive.
 *
 * <p>
 * Each router sends its own heartbeat to every router of its failure domain. It also
 * sends the heartbeats of all live routers of its domain to one other domain after
 * another, see {@link CrossDomainRotation}. Thread-safe: guarded by one lock of rank
 * {@link LockRank#MEMBERSHIP}.
 */
public final class MembershipHandler implements EventHandler {

	private static final long OWN_DOMAIN_GOSSIP_PERIOD_MILLIS = 500;

	private static final long CROSS_DOMAIN_GOSSIP_PERIOD_MILLIS = 1000;

	private static final long LIVENESS_CHECK_PERIOD_MILLIS = 100;

	private static final long ASSUME_ALONE_AFTER_MILLIS = 3000;

	private static final long REMOVE_PEER_AFTER_MILLIS = 600_000;

	private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);

	private final VmId self;

	private final DomainId domain;

	private final String host;

	private final int port;

	private final long incarnationMillis;

	private final UniformRandomProvider random;

	private final Map<VmId, PeerLiveness> peers = new TreeMap<>();

	private VmList vmList = new VmList(0, List.of());

	private long crossDomainTimeoutMillis = CrossDomainRotation.timeoutMillis(1, CROSS_DOMAIN_GOSSIP_PERIOD_MILLIS);

	private long heartbeatCounter;

	private boolean draining;

	private long catalogueRevision;

	private long nextOwnDomainGossipMillis;

	private long nextLivenessCheckMillis;

	private long nextCrossDomainGossipMillis;

	private long startedAtMillis = Long.MAX_VALUE;

	private Optional<Ownership> announcedOwnership = Optional.empty();

	/**
	 * Creates the handler.
	 * @param self the first heartbeat of this router
	 * @param seed seed for the random choice of peers
	 */
	public MembershipHandler(VmHeartbeat self, long seed) {
		this.self = self.vm();
		this.domain = self.domain();
		this.host = self.host();
		this.port = self.port();
		this.incarnationMillis = self.incarnation();
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return this.lock.callLocked(() -> dispatch(event, nowMillis));
	}

	/**
	 * Returns the newest heartbeat of each other known router. The counter is 0 for a
	 * router that is known only from the VM list.
	 * @return the heartbeats
	 */
	public List<VmHeartbeat> peerHeartbeats() {
		return this.lock.callLocked(() -> this.peers.values().stream().map(PeerLiveness::heartbeat).toList());
	}

	/**
	 * Returns the other routers that are alive.
	 * @param nowMillis the current time
	 * @return the routers, ordered by name
	 */
	public List<VmId> livePeers(long nowMillis) {
		return this.lock.callLocked(() -> this.peers.values()
			.stream()
			.filter((peer) -> isAlive(peer, nowMillis))
			.map((peer) -> peer.heartbeat().vm())
			.toList());
	}

	/**
	 * Returns the newest heartbeat of a router.
	 * @param vm the router
	 * @return the heartbeat, or empty if the router is unknown
	 */
	public Optional<VmHeartbeat> find(VmId vm) {
		return this.lock.callLocked(() -> Optional.ofNullable(this.peers.get(vm)).map(PeerLiveness::heartbeat));
	}

	private List<NodeAction> dispatch(NodeEvent event, long nowMillis) {
		if (event instanceof Tick) {
			return tick(nowMillis);
		}
		if (event instanceof PeerMessageReceived received) {
			return handlePeerMessage(received, nowMillis);
		}
		if (event instanceof PeerUnreachable unreachable) {
			Optional.ofNullable(this.peers.get(unreachable.peer()))
				.ifPresent((peer) -> peer.markUnreachable(nowMillis));
			return announceIfChanged(nowMillis);
		}
		if (event instanceof VmListRead read) {
			return handleVmList(read.vmList(), nowMillis);
		}
		if (event instanceof CatalogueChanged changed) {
			this.catalogueRevision = changed.snapshot().revision();
			this.nextOwnDomainGossipMillis = nowMillis;
			this.nextCrossDomainGossipMillis = nowMillis;
		}
		if (event instanceof DrainRequested) {
			this.draining = true;
			this.nextOwnDomainGossipMillis = nowMillis;
			return announceIfChanged(nowMillis);
		}
		return List.of();
	}

	private List<NodeAction> handlePeerMessage(PeerMessageReceived received, long nowMillis) {
		if (received.message() instanceof Gossip gossip) {
			return handleGossip(received.sender(), gossip, nowMillis);
		}
		if (received.message() instanceof VmListRelay relay) {
			return handleVmList(relay.vmList(), nowMillis);
		}
		return List.of();
	}

	private List<NodeAction> handleGossip(VmId sender, Gossip gossip, long nowMillis) {
		gossip.heartbeats().forEach((heartbeat) -> recordHeartbeat(heartbeat, nowMillis));
		List<NodeAction> actions = new ArrayList<>();
		gossip.shardLoads().forEach((load) -> actions.add(new RaiseEvent(new PeerMessageReceived(sender, load))));
		if (gossip.vmListVersion() < this.vmList.version()) {
			actions.add(new SendPeer(sender, new VmListRelay(this.vmList)));
		}
		return actions;
	}

	private void recordHeartbeat(VmHeartbeat heartbeat, long nowMillis) {
		if (!heartbeat.vm().equals(this.self)) {
			this.peers.computeIfAbsent(heartbeat.vm(), (vm) -> new PeerLiveness(heartbeat))
				.update(heartbeat, nowMillis);
		}
	}

	private List<NodeAction> handleVmList(VmList newList, long nowMillis) {
		if (newList.version() > this.vmList.version()) {
			this.vmList = newList;
			otherRouters(newList)
				.forEach((vmEntry) -> this.peers.computeIfAbsent(vmEntry.vm(), (vm) -> new PeerLiveness(vmEntry)));
			Map<VmId, VmState> states = otherRouters(newList).stream()
				.collect(Collectors.toMap(VmEntry::vm, VmEntry::state, (previous, current) -> current));
			this.peers.forEach((vm, peer) -> peer.setLeaving(states.get(vm) == VmState.LEAVING));
		}
		return announceIfChanged(nowMillis);
	}

	private List<VmEntry> otherRouters(VmList list) {
		return list.entries()
			.stream()
			.filter((vmEntry) -> vmEntry.peerPort() != 0 && !vmEntry.vm().equals(this.self))
			.toList();
	}

	private List<NodeAction> tick(long nowMillis) {
		this.startedAtMillis = Math.min(this.startedAtMillis, nowMillis);
		List<NodeAction> actions = new ArrayList<>();
		if (nowMillis >= this.nextLivenessCheckMillis) {
			this.nextLivenessCheckMillis = nowMillis + LIVENESS_CHECK_PERIOD_MILLIS;
			actions.addAll(announceIfChanged(nowMillis));
		}
		if (nowMillis >= this.nextOwnDomainGossipMillis) {
			this.nextOwnDomainGossipMillis = nowMillis + OWN_DOMAIN_GOSSIP_PERIOD_MILLIS;
			this.heartbeatCounter++;
			actions.addAll(gossipInOwnDomain(nowMillis));
		}
		if (nowMillis >= this.nextCrossDomainGossipMillis) {
			this.nextCrossDomainGossipMillis = nowMillis + CROSS_DOMAIN_GOSSIP_PERIOD_MILLIS;
			this.peers.values().removeIf((peer) -> peer.wasLastSeenBefore(nowMillis - REMOVE_PEER_AFTER_MILLIS));
			gossipToRandomLostPeer(nowMillis).ifPresent(actions::add);
			actions.addAll(gossipToOtherDomain(nowMillis));
		}
		return actions;
	}

	private List<NodeAction> gossipInOwnDomain(long nowMillis) {
		Gossip gossip = createGossip(List.of(ownHeartbeat()));
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.heartbeat().domain().equals(this.domain))
			.filter((peer) -> !peer.isLost(nowMillis))
			.<NodeAction>map((peer) -> new SendPeer(peer.heartbeat().vm(), gossip))
			.toList();
	}

	private Optional<NodeAction> gossipToRandomLostPeer(long nowMillis) {
		List<VmId> lostPeers = this.peers.values()
			.stream()
			.filter((peer) -> peer.isLost(nowMillis))
			.map((peer) -> peer.heartbeat().vm())
			.toList();
		if (lostPeers.isEmpty()) {
			return Optional.empty();
		}
		VmId receiver = lostPeers.get(this.random.nextInt(lostPeers.size()));
		return Optional.of(new SendPeer(receiver, createGossip(List.of(ownHeartbeat()))));
	}

	private List<NodeAction> gossipToOtherDomain(long nowMillis) {
		List<VmHeartbeat> heartbeats = liveDomainHeartbeats(nowMillis);
		return CrossDomainRotation
			.receivers(nowMillis / CROSS_DOMAIN_GOSSIP_PERIOD_MILLIS, this.self,
					heartbeats.stream().map(VmHeartbeat::vm).toList(), routersOfOtherDomains())
			.stream()
			.<NodeAction>map((vm) -> new SendPeer(vm, createGossip(heartbeats)))
			.toList();
	}

	private List<VmHeartbeat> liveDomainHeartbeats(long nowMillis) {
		List<VmHeartbeat> heartbeats = new ArrayList<>(this.peers.values()
			.stream()
			.filter((peer) -> peer.heartbeat().domain().equals(this.domain) && isAlive(peer, nowMillis))
			.map((peer) -> peer.heartbeatToRelay(nowMillis))
			.toList());
		heartbeats.add(ownHeartbeat());
		return heartbeats;
	}

	private SortedMap<DomainId, List<VmId>> routersOfOtherDomains() {
		SortedMap<DomainId, List<VmId>> routersByDomain = new TreeMap<>();
		this.peers.values()
			.stream()
			.map(PeerLiveness::heartbeat)
			.filter((heartbeat) -> !heartbeat.domain().equals(this.domain))
			.forEach((heartbeat) -> routersByDomain.computeIfAbsent(heartbeat.domain(), (domain) -> new ArrayList<>())
				.add(heartbeat.vm()));
		this.crossDomainTimeoutMillis = CrossDomainRotation.timeoutMillis(routersByDomain.size(),
				CROSS_DOMAIN_GOSSIP_PERIOD_MILLIS);
		return routersByDomain;
	}

	private boolean isAlive(PeerLiveness peer, long nowMillis) {
		return peer.isAlive(this.domain, this.crossDomainTimeoutMillis, nowMillis);
	}

	private Gossip createGossip(List<VmHeartbeat> heartbeats) {
		return new Gossip(heartbeats, this.catalogueRevision, this.vmList.version(), List.of());
	}

	private VmHeartbeat ownHeartbeat() {
		return new VmHeartbeat(this.self, this.domain, this.incarnationMillis, this.heartbeatCounter, this.draining,
				this.host, this.port, this.catalogueRevision, 0);
	}

	private List<NodeAction> announceIfChanged(long nowMillis) {
		Ownership ownership = computeOwnership(nowMillis);
		boolean canAnnounce = !ownership.routers().isEmpty() || this.announcedOwnership.isPresent();
		if (!canAnnounce || this.announcedOwnership.filter(ownership::equals).isPresent()) {
			return List.of();
		}
		this.announcedOwnership = Optional.of(ownership);
		return List.of(new RaiseEvent(new OwnershipChanged(ownership)));
	}

	private Ownership computeOwnership(long nowMillis) {
		Map<VmId, DomainId> routers = new TreeMap<>();
		this.peers.values()
			.stream()
			.filter((peer) -> isAlive(peer, nowMillis) && !peer.isDraining())
			.forEach((peer) -> routers.put(peer.heartbeat().vm(), peer.heartbeat().domain()));
		// A router that has just started owns nothing until it knows another live router
		// or has reason to assume that it is alone. Either the VM list contains no other
		// router, or none has been alive for a while.
		boolean isAloneInVmList = this.vmList.version() > 0 && otherRouters(this.vmList).isEmpty();
		boolean isAssumedAlone = nowMillis - this.startedAtMillis >= ASSUME_ALONE_AFTER_MILLIS || isAloneInVmList;
		if (!this.draining && (isAssumedAlone || !routers.isEmpty())) {
			routers.put(this.self, this.domain);
		}
		return new Ownership(this.self, this.domain, routers);
	}

}
