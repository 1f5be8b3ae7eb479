package org.mustardlane.gateway.peer;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.placement.FleetPosition;
import org.mustardlane.core.placement.LoadTable;
import org.mustardlane.core.quarantine.Quarantine;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.knowledge.RoutingState;
import org.mustardlane.gateway.quarantine.CallQuarantine;
import org.mustardlane.gateway.quarantine.QuarantineListener;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.GuardedTask;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.protocol.KnowledgeDigest;
import org.mustardlane.protocol.KnowledgeServiceGrpc;
import org.mustardlane.protocol.RouterAddress;
import org.mustardlane.router.peer.PeerAddress;
import org.mustardlane.router.peer.PeerDialer;

/**
 * Gossip protocol: exchanges digests with one other router at a time. Routers that cannot
 * read the platform's log receive routes and targets this way, and routers learn the
 * loads of targets that they have not sent calls to.
 *
 * <p>
 * Each router sends one digest per interval to one of its neighbours, so the number of
 * intervals until an update reaches all routers grows with the logarithm of their number.
 * Confined to the event loop of the daemon.
 */
public final class PeerGossip extends KnowledgeServiceGrpc.KnowledgeServiceImplBase implements QuarantineListener {

	private static final String TASK_NAME = "gossip";

	private static final int INTERVAL_MILLIS = 1000;

	/**
	 * While this router cannot rely on the log, peers are its only source of updates.
	 */
	private static final int URGENT_INTERVAL_MILLIS = 400;

	/**
	 * A crash is reported by several calls at once.
	 */
	private static final int PUSH_DELAY_MILLIS = 50;

	/**
	 * News may come without a pause while many calls are lost. Each router also receives
	 * what others send, and forwards it.
	 */
	private static final int MIN_PUSH_INTERVAL_MILLIS = 400;

	/**
	 * Evidence that regular digests hold, in addition to what is pushed once.
	 */
	private static final int RECENT_EVIDENCE_MILLIS = 10_000;

	/**
	 * Routers that do not know each other yet must not exceed the limits together.
	 */
	private static final int MIN_ROUTER_COUNT = 8;

	private static final int CALL_TIMEOUT_MILLIS = 700;

	/**
	 * Maximum number of open channels; above this the least recently used channel is
	 * closed.
	 */
	private static final int MAX_CHANNELS = 32;

	private static final int MAX_PORT = 65_535;

	private static final Pattern ADDRESS = Pattern.compile("(?<host>.+):(?<port>\\d{1,5})");

	/**
	 * Position while no other router is known.
	 */
	public static final FleetPosition ASSUMED_POSITION = new FleetPosition(0, MIN_ROUTER_COUNT);

	private final VmId ownVm;

	private RouterAddress ownAddress = RouterAddress.getDefaultInstance();

	private final PeerRegistry registry;

	private final RoutingState routingState;

	private final LoadTable loads;

	private final CallQuarantine quarantine;

	private final PeerDialer dialer;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final DecisionLog log;

	private final GossipTraffic traffic;

	private boolean pushScheduled;

	private long lastPushMillis;

	private final Map<PeerAddress, ManagedChannel> channels = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * Creates an instance that does not send digests yet.
	 * @param ownVm the VM of this router
	 * @param seeds routers to contact while no other router is known
	 * @param routingState routes and targets to exchange
	 * @param loads loads to relay and to update
	 * @param quarantine evidence and quarantines to exchange
	 * @param dialer opens gRPC channels
	 * @param loop event loop of the daemon
	 * @param clock monotonic clock
	 * @param log log of decisions
	 */
	public PeerGossip(VmId ownVm, List<PeerAddress> seeds, RoutingState routingState, LoadTable loads,
			CallQuarantine quarantine, PeerDialer dialer, EventLoop loop, MonotonicClock clock, DecisionLog log) {
		this.ownVm = ownVm;
		this.registry = new PeerRegistry(ownVm, seeds);
		this.routingState = routingState;
		this.loads = loads;
		this.quarantine = quarantine;
		this.dialer = dialer;
		this.loop = loop;
		this.clock = clock;
		this.log = log;
		this.traffic = new GossipTraffic(log, clock.nowMillis());
	}

	/**
	 * Starts to send digests.
	 * @param endpoint where other routers can reach this one
	 */
	public void start(RouterEndpoint endpoint) {
		this.ownAddress = RouterAddress.newBuilder()
			.setVm(this.ownVm.value())
			.setHost(endpoint.gossip().host())
			.setPort(endpoint.gossip().port())
			.setCallPort(endpoint.callPort().orElse(0))
			.build();
		this.quarantine.addListener(this);
		runRound();
	}

	@Override
	public void onNews() {
		if (this.pushScheduled) {
			return;
		}
		this.pushScheduled = true;
		long waitMillis = this.lastPushMillis + MIN_PUSH_INTERVAL_MILLIS - this.clock.nowMillis();
		this.loop.schedule(new GuardedTask(TASK_NAME, this::pushDigest, this.log),
				Math.max(PUSH_DELAY_MILLIS, waitMillis), TimeUnit.MILLISECONDS);
	}

	@Override
	public void onDecision(Quarantine decision) {
		onNews();
	}

	private void pushDigest() {
		this.pushScheduled = false;
		long nowMillis = this.clock.nowMillis();
		KnowledgeDigest.Builder digest = createHeader().setNewsOnly(true);
		LimitCodec.addTo(digest, this.loads, nowMillis);
		EvidenceCodec.addTo(digest, this.quarantine, this.lastPushMillis, nowMillis);
		// What is learnt within this millisecond is pushed again.
		this.lastPushMillis = nowMillis - 1;
		KnowledgeDigest news = digest.build();
		this.registry.neighbours(nowMillis).forEach((peer) -> sendDigest(peer, news));
	}

	private void runRound() {
		this.traffic.reportIfDue(this.clock.nowMillis());
		boolean isUrgent = this.routingState.needsPeerRecords();
		new GuardedTask(TASK_NAME, () -> contactPeer(isUrgent), this.log).run();
		int intervalMillis = isUrgent ? URGENT_INTERVAL_MILLIS : INTERVAL_MILLIS;
		// Jitter, so that routers that started together do not send their digests at the
		// same time.
		int jitterMillis = ThreadLocalRandom.current().nextInt(intervalMillis / 4);
		this.loop.schedule(this::runRound, intervalMillis - jitterMillis, TimeUnit.MILLISECONDS);
	}

	private void contactPeer(boolean isUrgent) {
		this.registry.pickPeer(ThreadLocalRandom.current()::nextDouble, this.clock.nowMillis(), isUrgent)
			.ifPresent((peer) -> sendDigest(peer, createDigest()));
	}

	private void sendDigest(PeerAddress peer, KnowledgeDigest digest) {
		this.traffic.recordSent(digest.getNewsOnly());
		KnowledgeServiceGrpc.newStub(channelTo(peer))
			.withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.exchange(digest, new StreamObserver<>() {
				@Override
				public void onNext(KnowledgeDigest reply) {
					PeerGossip.this.loop.execute(() -> handleReply(peer, reply));
				}

				@Override
				public void onError(Throwable failure) {
					PeerGossip.this.loop.execute(() -> handleFailure(peer, failure));
				}

				@Override
				public void onCompleted() {
				}
			});
	}

	private ManagedChannel channelTo(PeerAddress peer) {
		ManagedChannel peerChannel = this.channels.computeIfAbsent(peer, this.dialer::dial);
		if (this.channels.size() > MAX_CHANNELS) {
			PeerAddress leastRecentlyUsed = this.channels.keySet().iterator().next();
			this.channels.remove(leastRecentlyUsed).shutdown();
		}
		return peerChannel;
	}

	private void handleReply(PeerAddress peer, KnowledgeDigest reply) {
		applyDigest(reply);
		if (reply.getRoutesVersion() < this.routingState.routesVersion()) {
			this.routingState.routesRecord()
				.ifPresent((routes) -> sendDigest(peer,
						createDigest().toBuilder().setRoutes(DigestCodec.encode(routes)).build()));
		}
	}

	private void handleFailure(PeerAddress peer, Throwable failure) {
		this.registry.recordFailure(peer, this.clock.nowMillis());
		ManagedChannel failedChannel = this.channels.remove(peer);
		if (failedChannel != null) {
			failedChannel.shutdownNow();
		}
		this.log.write(LogEvent.PEER_CHANGED, "peer", peer.host() + ":" + peer.port(), "state", "lost", "reason",
				failure.getMessage());
	}

	private KnowledgeDigest createDigest() {
		long nowMillis = this.clock.nowMillis();
		KnowledgeDigest.Builder digest = createHeader();
		DigestCodec.addLoads(digest, this.loads, nowMillis);
		LimitCodec.addTo(digest, this.loads, nowMillis);
		EvidenceCodec.addTo(digest, this.quarantine, nowMillis - RECENT_EVIDENCE_MILLIS, nowMillis);
		return digest.build();
	}

	private KnowledgeDigest.Builder createHeader() {
		LogPosition requested = this.routingState.peerRequestPosition();
		return KnowledgeDigest.newBuilder()
			.setSender(this.ownAddress)
			.setRoutesVersion(this.routingState.routesVersion())
			.setTargetsOffset(requested.offset())
			.setTargetsEpoch(requested.epoch())
			.setLogLost(this.routingState.needsPeerRecords());
	}

	@Override
	public void exchange(KnowledgeDigest request, StreamObserver<KnowledgeDigest> responseObserver) {
		this.traffic.recordReceived();
		applyDigest(request);
		KnowledgeDigest.Builder reply = request.getNewsOnly() ? createHeader() : createDigest().toBuilder();
		if (request.getRoutesVersion() < this.routingState.routesVersion()) {
			this.routingState.routesRecord().map(DigestCodec::encode).ifPresent(reply::setRoutes);
		}
		if (request.getLogLost()) {
			this.routingState.targetRecordsAfter(new LogPosition(request.getTargetsEpoch(), request.getTargetsOffset()))
				.forEach((targetRecord) -> reply.addTargets(DigestCodec.encode(targetRecord)));
		}
		responseObserver.onNext(reply.build());
		responseObserver.onCompleted();
	}

	private void applyDigest(KnowledgeDigest digest) {
		VmId sender = new VmId(digest.getSender().getVm());
		addPeer(sender, endpointOf(digest.getSender()));
		this.registry.recordContact(sender);
		if (digest.hasRoutes()) {
			this.routingState.applyRoutes(DigestCodec.decode(digest.getRoutes()), sender.value());
		}
		List<KeyedRecord> relayedTargets = digest.getTargetsList().stream().map(DigestCodec::decode).toList();
		this.routingState.applyRelayedTargets(relayedTargets);
		DigestCodec.applyLoads(digest, this.loads, position(), this.clock.nowMillis());
		applyNews(digest, sender);
	}

	private static RouterEndpoint endpointOf(RouterAddress sender) {
		OptionalInt callPort = (sender.getCallPort() == 0) ? OptionalInt.empty() : OptionalInt.of(sender.getCallPort());
		return new RouterEndpoint(new PeerAddress(sender.getHost(), sender.getPort()), callPort);
	}

	private void applyNews(KnowledgeDigest digest, VmId sender) {
		try {
			applyLimits(digest, sender);
			EvidenceCodec.apply(digest, sender.value(), this.quarantine, this.clock.nowMillis());
		}
		catch (IllegalArgumentException ex) {
			this.log.warn(LogEvent.RECORD_REJECTED, "key", sender, "reason", ex);
		}
	}

	private void applyLimits(KnowledgeDigest digest, VmId sender) {
		List<TargetId> changedTargets = LimitCodec.apply(digest, this.loads, position(), this.clock.nowMillis());
		for (TargetId target : changedTargets) {
			this.log.write(LogEvent.TARGET_LIMIT_CHANGED, "target", target, "limitPerSecond",
					this.loads.of(target).limit().toLogText(), "source", sender);
		}
		if (!changedTargets.isEmpty()) {
			onNews();
		}
	}

	/**
	 * Adds a router or updates its address.
	 * @param vm the VM of the router
	 * @param endpoint where the router can be reached
	 */
	public void addPeer(VmId vm, RouterEndpoint endpoint) {
		if (this.registry.addOrUpdate(vm, endpoint)) {
			this.log.write(LogEvent.PEER_CHANGED, "peer", vm, "state", "found", "address", endpoint.toText());
		}
	}

	/**
	 * Returns the addresses at which other routers take calls over.
	 * @return the addresses of the known routers
	 */
	public Map<VmId, PeerAddress> callAddresses() {
		return this.registry.callAddresses();
	}

	/**
	 * Returns the position of this router among the routers that share the limits of the
	 * fleet.
	 * @return the position
	 */
	public FleetPosition position() {
		return this.registry.position(MIN_ROUTER_COUNT);
	}

	/**
	 * Parses the address of a router.
	 * @param text host and port, separated by a colon
	 * @return the address, or empty if the text is malformed or the port is out of range
	 */
	public static Optional<PeerAddress> parseAddress(String text) {
		Matcher address = ADDRESS.matcher(text);
		if (!address.matches()) {
			return Optional.empty();
		}
		int port = Integer.parseInt(address.group("port"));
		return (port < 1 || port > MAX_PORT) ? Optional.empty()
				: Optional.of(new PeerAddress(address.group("host"), port));
	}

}
