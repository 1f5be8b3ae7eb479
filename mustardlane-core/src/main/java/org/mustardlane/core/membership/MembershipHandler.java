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
 * another, see {@link FarRotation}. Thread-safe: guarded by one lock of rank
 * {@link LockRank#MEMBERSHIP}.
 */
public final class MembershipHandler implements EventHandler {

	private static final long NEAR_PERIOD_MILLIS = 500;

	private static final long FAR_PERIOD_MILLIS = 1000;

	private static final long REVIEW_PERIOD_MILLIS = 100;

	private static final long ALONE_AFTER_MILLIS = 3000;

	private static final long FORGET_AFTER_MILLIS = 600_000;

	private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);

	private final VmId self;

	private final DomainId domain;

	private final String host;

	private final int port;

	private final long incarnationMillis;

	private final UniformRandomProvider random;

	private final Map<VmId, PeerLiveness> peers = new TreeMap<>();

	private VmList vmList = new VmList(0, List.of());

	private long farTimeoutMillis = FarRotation.timeoutMillis(1, FAR_PERIOD_MILLIS);

	private long counter;

	private boolean draining;

	private long catalogueRevision;

	private long nearAtMillis;

	private long reviewAtMillis;

	private long farAtMillis;

	private long startedAtMillis = Long.MAX_VALUE;

	private Optional<Ownership> announced = Optional.empty();

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
		return this.lock.locked(() -> dispatch(event, nowMillis));
	}

	/**
	 * Returns the newest heartbeat of each other known router. The counter is 0 for a
	 * router that is known only from the VM list.
	 * @return the heartbeats
	 */
	public List<VmHeartbeat> peers() {
		return this.lock.locked(() -> this.peers.values().stream().map(PeerLiveness::heartbeat).toList());
	}

	/**
	 * Returns the other routers that are alive.
	 * @param nowMillis the current time
	 * @return the routers, ordered by name
	 */
	public List<VmId> livePeers(long nowMillis) {
		return this.lock.locked(() -> this.peers.values()
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
		return this.lock.locked(() -> Optional.ofNullable(this.peers.get(vm)).map(PeerLiveness::heartbeat));
	}

	private List<NodeAction> dispatch(NodeEvent event, long nowMillis) {
		if (event instanceof Tick) {
			return tick(nowMillis);
		}
		if (event instanceof PeerMessageReceived received) {
			return peerMessage(received, nowMillis);
		}
		if (event instanceof PeerUnreachable lost) {
			Optional.ofNullable(this.peers.get(lost.peer())).ifPresent((peer) -> peer.markUnreachable(nowMillis));
			return announceIfChanged(nowMillis);
		}
		if (event instanceof VmListRead read) {
			return listRead(read.vmList(), nowMillis);
		}
		if (event instanceof CatalogueChanged changed) {
			this.catalogueRevision = changed.snapshot().revision();
			this.nearAtMillis = nowMillis;
			this.farAtMillis = nowMillis;
		}
		if (event instanceof DrainRequested) {
			this.draining = true;
			this.nearAtMillis = nowMillis;
			return announceIfChanged(nowMillis);
		}
		return List.of();
	}

	private List<NodeAction> peerMessage(PeerMessageReceived received, long nowMillis) {
		if (received.message() instanceof Gossip gossip) {
			return gossiped(received.sender(), gossip, nowMillis);
		}
		if (received.message() instanceof VmListRelay relay) {
			return listRead(relay.vmList(), nowMillis);
		}
		return List.of();
	}

	private List<NodeAction> gossiped(VmId sender, Gossip gossip, long nowMillis) {
		gossip.heartbeats().forEach((heartbeat) -> heard(heartbeat, nowMillis));
		List<NodeAction> actions = new ArrayList<>();
		gossip.shardLoads().forEach((load) -> actions.add(new RaiseEvent(new PeerMessageReceived(sender, load))));
		if (gossip.vmListVersion() < this.vmList.version()) {
			actions.add(new SendPeer(sender, new VmListRelay(this.vmList)));
		}
		return actions;
	}

	private void heard(VmHeartbeat heartbeat, long nowMillis) {
		if (!heartbeat.vm().equals(this.self)) {
			this.peers.computeIfAbsent(heartbeat.vm(), (vm) -> new PeerLiveness(heartbeat)).heard(heartbeat, nowMillis);
		}
	}

	private List<NodeAction> listRead(VmList read, long nowMillis) {
		if (read.version() > this.vmList.version()) {
			this.vmList = read;
			routerRows(read).forEach((row) -> this.peers.computeIfAbsent(row.vm(), (vm) -> new PeerLiveness(row)));
			Map<VmId, VmState> states = routerRows(read).stream()
				.collect(Collectors.toMap(VmEntry::vm, VmEntry::state, (first, second) -> second));
			this.peers.forEach((vm, peer) -> peer.setLeaving(states.get(vm) == VmState.LEAVING));
		}
		return announceIfChanged(nowMillis);
	}

	private List<VmEntry> routerRows(VmList list) {
		return list.entries().stream().filter((row) -> row.peerPort() != 0 && !row.vm().equals(this.self)).toList();
	}

	private List<NodeAction> tick(long nowMillis) {
		this.startedAtMillis = Math.min(this.startedAtMillis, nowMillis);
		List<NodeAction> actions = new ArrayList<>();
		if (nowMillis >= this.reviewAtMillis) {
			this.reviewAtMillis = nowMillis + REVIEW_PERIOD_MILLIS;
			actions.addAll(announceIfChanged(nowMillis));
		}
		if (nowMillis >= this.nearAtMillis) {
			this.nearAtMillis = nowMillis + NEAR_PERIOD_MILLIS;
			this.counter++;
			actions.addAll(tellDomain(nowMillis));
		}
		if (nowMillis >= this.farAtMillis) {
			this.farAtMillis = nowMillis + FAR_PERIOD_MILLIS;
			this.peers.values().removeIf((peer) -> peer.isForgotten(nowMillis - FORGET_AFTER_MILLIS));
			tellLostPeer(nowMillis).ifPresent(actions::add);
			actions.addAll(tellOtherDomain(nowMillis));
		}
		return actions;
	}

	private List<NodeAction> tellDomain(long nowMillis) {
		Gossip own = gossip(List.of(heartbeat()));
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.heartbeat().domain().equals(this.domain))
			.filter((peer) -> !peer.isLost(nowMillis))
			.<NodeAction>map((peer) -> new SendPeer(peer.heartbeat().vm(), own))
			.toList();
	}

	private Optional<NodeAction> tellLostPeer(long nowMillis) {
		List<VmId> lost = this.peers.values()
			.stream()
			.filter((peer) -> peer.isLost(nowMillis))
			.map((peer) -> peer.heartbeat().vm())
			.toList();
		if (lost.isEmpty()) {
			return Optional.empty();
		}
		VmId chosen = lost.get(this.random.nextInt(lost.size()));
		return Optional.of(new SendPeer(chosen, gossip(List.of(heartbeat()))));
	}

	private List<NodeAction> tellOtherDomain(long nowMillis) {
		List<VmHeartbeat> own = ownDomain(nowMillis);
		return FarRotation
			.receivers(nowMillis / FAR_PERIOD_MILLIS, this.self, own.stream().map(VmHeartbeat::vm).toList(),
					otherDomains())
			.stream()
			.<NodeAction>map((vm) -> new SendPeer(vm, gossip(own)))
			.toList();
	}

	private List<VmHeartbeat> ownDomain(long nowMillis) {
		List<VmHeartbeat> rows = new ArrayList<>(this.peers.values()
			.stream()
			.filter((peer) -> peer.heartbeat().domain().equals(this.domain) && isAlive(peer, nowMillis))
			.map((peer) -> peer.relayed(nowMillis))
			.toList());
		rows.add(heartbeat());
		return rows;
	}

	private SortedMap<DomainId, List<VmId>> otherDomains() {
		SortedMap<DomainId, List<VmId>> domains = new TreeMap<>();
		this.peers.values()
			.stream()
			.map(PeerLiveness::heartbeat)
			.filter((heartbeat) -> !heartbeat.domain().equals(this.domain))
			.forEach((heartbeat) -> domains.computeIfAbsent(heartbeat.domain(), (key) -> new ArrayList<>())
				.add(heartbeat.vm()));
		this.farTimeoutMillis = FarRotation.timeoutMillis(domains.size(), FAR_PERIOD_MILLIS);
		return domains;
	}

	private boolean isAlive(PeerLiveness peer, long nowMillis) {
		return peer.isAlive(this.domain, this.farTimeoutMillis, nowMillis);
	}

	private Gossip gossip(List<VmHeartbeat> heartbeats) {
		return new Gossip(heartbeats, this.catalogueRevision, this.vmList.version(), List.of());
	}

	private VmHeartbeat heartbeat() {
		return new VmHeartbeat(this.self, this.domain, this.incarnationMillis, this.counter, this.draining, this.host,
				this.port, this.catalogueRevision, 0);
	}

	private List<NodeAction> announceIfChanged(long nowMillis) {
		Ownership ownership = ownership(nowMillis);
		boolean known = !ownership.routers().isEmpty() || this.announced.isPresent();
		if (!known || this.announced.filter(ownership::equals).isPresent()) {
			return List.of();
		}
		this.announced = Optional.of(ownership);
		return List.of(new RaiseEvent(new OwnershipChanged(ownership)));
	}

	private Ownership ownership(long nowMillis) {
		Map<VmId, DomainId> routers = new TreeMap<>();
		this.peers.values()
			.stream()
			.filter((peer) -> isAlive(peer, nowMillis) && !peer.isDraining())
			.forEach((peer) -> routers.put(peer.heartbeat().vm(), peer.heartbeat().domain()));
		// A router that has just started owns nothing until it knows another live router
		// or has reason to assume that it is alone. Either the VM list contains no other
		// router, or none has been alive for a while.
		boolean listedAlone = this.vmList.version() > 0 && routerRows(this.vmList).isEmpty();
		boolean alone = nowMillis - this.startedAtMillis >= ALONE_AFTER_MILLIS || listedAlone;
		if (!this.draining && (alone || !routers.isEmpty())) {
			routers.put(this.self, this.domain);
		}
		return new Ownership(this.self, this.domain, routers);
	}

}
