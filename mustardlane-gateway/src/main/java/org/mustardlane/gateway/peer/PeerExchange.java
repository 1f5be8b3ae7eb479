package org.mustardlane.gateway.peer;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.placement.LoadTable;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.Knowledge;
import org.mustardlane.gateway.knowledge.SteadyClock;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.protocol.KnowledgeDigest;
import org.mustardlane.protocol.KnowledgeServiceGrpc;
import org.mustardlane.protocol.RouterAddress;
import org.mustardlane.router.peer.PeerAddress;
import org.mustardlane.router.peer.PeerDialer;

/**
 * Compares knowledge with one other router at a time, so that routes reach routers which
 * the platform's log refuses, and loads reach routers that placed nothing there.
 *
 * <p>
 * With one call a router and interval, news reaches all routers within a number of
 * intervals that grows with the logarithm of their number. Confined to the event loop of
 * the daemon.
 */
public final class PeerExchange extends KnowledgeServiceGrpc.KnowledgeServiceImplBase {

	private static final int INTERVAL_MILLIS = 1000;

	/**
	 * While this router can not rely on the log, peers are the only source.
	 */
	private static final int URGENT_INTERVAL_MILLIS = 400;

	private static final int CALL_TIMEOUT_MILLIS = 700;

	/**
	 * Connections that are kept; beyond that the least recently used one is closed.
	 */
	private static final int MOST_CHANNELS = 32;

	private final VmId selfVm;

	private RouterAddress self = RouterAddress.getDefaultInstance();

	private final PeerBook book;

	private final Knowledge knowledge;

	private final LoadTable loads;

	private final PeerDialer dialer;

	private final EventLoop loop;

	private final SteadyClock clock;

	private final DecisionLog log;

	private final Map<PeerAddress, ManagedChannel> channels = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * Creates an exchange that does not call yet.
	 * @param self name of this router
	 * @param seeds routers to try while none is known
	 * @param knowledge what is compared
	 * @param loads loads that are passed on
	 * @param dialer opens connections
	 * @param loop event loop of the daemon
	 * @param clock the time
	 * @param log is told of routers that come and go
	 */
	public PeerExchange(VmId self, List<PeerAddress> seeds, Knowledge knowledge, LoadTable loads, PeerDialer dialer,
			EventLoop loop, SteadyClock clock, DecisionLog log) {
		this.selfVm = self;
		this.book = new PeerBook(self, seeds);
		this.knowledge = knowledge;
		this.loads = loads;
		this.dialer = dialer;
		this.loop = loop;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Starts to call.
	 * @param address where this router listens for others
	 */
	public void start(PeerAddress address) {
		this.self = RouterAddress.newBuilder()
			.setVm(this.selfVm.value())
			.setHost(address.host())
			.setPort(address.port())
			.build();
		tick();
	}

	private void tick() {
		long now = this.clock.nowMillis();
		boolean urgent = this.knowledge.needsTargets();
		this.book.pick(ThreadLocalRandom.current()::nextDouble, now, urgent).ifPresent((peer) -> call(peer, digest()));
		int interval = urgent ? URGENT_INTERVAL_MILLIS : INTERVAL_MILLIS;
		// Routers that started together must not call together.
		int jitter = ThreadLocalRandom.current().nextInt(interval / 4);
		this.loop.schedule(this::tick, interval - jitter, TimeUnit.MILLISECONDS);
	}

	private void call(PeerAddress peer, KnowledgeDigest digest) {
		KnowledgeServiceGrpc.newStub(channel(peer))
			.withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.exchange(digest, new StreamObserver<>() {
				@Override
				public void onNext(KnowledgeDigest answer) {
					PeerExchange.this.loop.execute(() -> answered(peer, answer));
				}

				@Override
				public void onError(Throwable failure) {
					PeerExchange.this.loop.execute(() -> failed(peer, failure));
				}

				@Override
				public void onCompleted() {
				}
			});
	}

	private ManagedChannel channel(PeerAddress peer) {
		ManagedChannel used = this.channels.computeIfAbsent(peer, this.dialer::dial);
		if (this.channels.size() > MOST_CHANNELS) {
			PeerAddress leastRecentlyUsed = this.channels.keySet().iterator().next();
			this.channels.remove(leastRecentlyUsed).shutdown();
		}
		return used;
	}

	private void answered(PeerAddress peer, KnowledgeDigest answer) {
		take(answer);
		if (answer.getRoutesVersion() < this.knowledge.routesVersion()) {
			this.knowledge.routesRecord()
				.ifPresent((routes) -> call(peer, digest().toBuilder().setRoutes(DigestCodec.encode(routes)).build()));
		}
	}

	private void failed(PeerAddress peer, Throwable failure) {
		this.book.failed(peer, this.clock.nowMillis());
		ManagedChannel broken = this.channels.remove(peer);
		if (broken != null) {
			broken.shutdownNow();
		}
		this.log.write(LogEvent.PEER_CHANGED, "peer", peer.host() + ":" + peer.port(), "state", "lost", "reason",
				failure.getMessage());
	}

	private KnowledgeDigest digest() {
		KnowledgeDigest.Builder digest = KnowledgeDigest.newBuilder()
			.setSender(this.self)
			.setRoutesVersion(this.knowledge.routesVersion())
			.setTargetsOffset(this.knowledge.askAfterOffset())
			.setLogLost(this.knowledge.needsTargets());
		DigestCodec.addLoads(digest, this.loads, this.clock.nowMillis());
		return digest.build();
	}

	@Override
	public void exchange(KnowledgeDigest asked, StreamObserver<KnowledgeDigest> answer) {
		take(asked);
		KnowledgeDigest.Builder reply = digest().toBuilder();
		if (asked.getRoutesVersion() < this.knowledge.routesVersion()) {
			this.knowledge.routesRecord().map(DigestCodec::encode).ifPresent(reply::setRoutes);
		}
		if (asked.getLogLost()) {
			this.knowledge.targetRecordsAfter(asked.getTargetsOffset())
				.forEach((known) -> reply.addTargets(DigestCodec.encode(known)));
		}
		answer.onNext(reply.build());
		answer.onCompleted();
	}

	private void take(KnowledgeDigest digest) {
		VmId sender = new VmId(digest.getSender().getVm());
		found(sender, new PeerAddress(digest.getSender().getHost(), digest.getSender().getPort()));
		this.book.alive(sender);
		if (digest.hasRoutes()) {
			this.knowledge.takeRoutes(DigestCodec.decode(digest.getRoutes()), sender.value());
		}
		List<KeyedRecord> relayed = digest.getTargetsList().stream().map(DigestCodec::decode).toList();
		this.knowledge.takeRelayedTargets(relayed);
		DigestCodec.takeLoads(digest, this.loads, this.clock.nowMillis());
	}

	/**
	 * Notes where a router listens.
	 * @param vm the router
	 * @param address where it listens
	 */
	public void found(VmId vm, PeerAddress address) {
		if (this.book.found(vm, address)) {
			this.log.write(LogEvent.PEER_CHANGED, "peer", vm, "state", "found", "address",
					address.host() + ":" + address.port());
		}
	}

	/**
	 * Counts the routers among which limits of the fleet are shared, this one included.
	 * @return the number, at least 1
	 */
	public int sharers() {
		return this.book.sharers();
	}

	/**
	 * Reads an address.
	 * @param text host and port
	 * @return the address, or empty where the text is none
	 */
	public static Optional<PeerAddress> parse(String text) {
		int colon = text.lastIndexOf(':');
		try {
			return (colon <= 0) ? Optional.empty() : Optional
				.of(new PeerAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

}
