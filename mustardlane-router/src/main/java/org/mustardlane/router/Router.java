package org.mustardlane.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.mustardlane.core.event.DrainFinished;
import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.PollTarget;
import org.mustardlane.core.event.RecordEvent;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.node.Node;
import org.mustardlane.core.node.NodeSettings;
import org.mustardlane.core.timeline.HybridClock;
import org.mustardlane.core.timeline.TimelineBuffer;
import org.mustardlane.router.caller.CallerLimits;
import org.mustardlane.router.caller.CallerServer;
import org.mustardlane.router.caller.RequestIds;
import org.mustardlane.router.exchange.RequestActions;
import org.mustardlane.router.metrics.HealthServer;
import org.mustardlane.router.metrics.RouterMetrics;
import org.mustardlane.router.operator.OperatorService;
import org.mustardlane.router.operator.PendingPublishes;
import org.mustardlane.router.peer.GrpcServer;
import org.mustardlane.router.peer.PeerAddress;
import org.mustardlane.router.peer.PeerLinks;
import org.mustardlane.router.peer.PeerService;
import org.mustardlane.router.peer.TlsIdentity;
import org.mustardlane.router.platform.PlatformClient;
import org.mustardlane.router.platform.StreamFollowers;
import org.mustardlane.router.platform.VmListPoller;
import org.mustardlane.router.settings.RouterSettings;
import org.mustardlane.router.target.TargetClient;
import org.mustardlane.router.target.TargetPoller;
import org.mustardlane.router.worker.ActionTable;
import org.mustardlane.router.worker.RouterClock;
import org.mustardlane.router.worker.Ticker;
import org.mustardlane.router.worker.WorkerPool;

/**
 * A router process: connects the node with the servers, clients and timers that supply
 * its events and execute its actions.
 */
public final class Router implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(Router.class);

	private static final int MAX_BUFFERED_RESPONSE_BYTES = 262_144;

	private static final int MAX_RESPONSE_COPY_BYTES = 131_072;

	private static final int MAX_TOTAL_BODY_BYTES = 64 * 1024 * 1024;

	private static final int TIMELINE_CAPACITY = 20_000;

	private static final int IO_THREADS = 2;

	private static final int SHUTDOWN_GRACE_MILLIS = 500;

	private static final int OPEN_RESPONSES_POLL_MILLIS = 10;

	private static final String READY_PATH = "/readyz";

	private final RouterSettings settings;

	private final RouterClock clock = new RouterClock();

	private final long startedAtMillis = this.clock.nowMillis();

	private final EventLoopGroup eventLoops = createEventLoops();

	private final ScheduledExecutorService scheduler = Executors
		.newSingleThreadScheduledExecutor(new DefaultThreadFactory("timer", true));

	private final HashedWheelTimer timeoutTimer = new HashedWheelTimer(new DefaultThreadFactory("timeouts", true));

	private final RouterMetrics metrics = new RouterMetrics();

	private final HybridClock hybridClock = new HybridClock();

	private final TimelineBuffer timeline;

	private final ActionTable actions = new ActionTable();

	private final CountDownLatch drained = new CountDownLatch(1);

	private final PlatformClient platform;

	private final TargetClient targets;

	private final RequestActions requests;

	private final HybridClockStamper stamper;

	private volatile Optional<Components> components = Optional.empty();

	private volatile boolean draining;

	private volatile long drainDeadlineMillis;

	/**
	 * Creates a router that is not listening yet.
	 * @param settings the settings
	 */
	public Router(RouterSettings settings) {
		this.settings = settings;
		this.stamper = new HybridClockStamper(settings.vm(), this.hybridClock, this.clock);
		this.timeline = new TimelineBuffer(this.hybridClock, settings.vm(), settings.domain(), TIMELINE_CAPACITY);
		this.platform = new PlatformClient(settings.platformUrl(), this.eventLoops, this.timeoutTimer);
		this.targets = new TargetClient(this.eventLoops, this.timeoutTimer, this.clock);
		this.requests = new RequestActions(settings.vm(), this.targets,
				(holder, requestId, sink) -> requireStarted().links().joinResponse(holder, requestId, sink),
				MAX_RESPONSE_COPY_BYTES);
	}

	// AsyncHttpClient accepts no other type of event loop group.
	@SuppressWarnings("deprecation")
	private static EventLoopGroup createEventLoops() {
		return new NioEventLoopGroup(IO_THREADS, new DefaultThreadFactory("io", true));
	}

	/**
	 * Opens the ports and starts the polling of the platform and the ticks.
	 * @return the ports on which the router listens
	 * @throws IOException if a port is unavailable or a TLS file cannot be read
	 */
	public RouterPorts start() throws IOException {
		GrpcServer peers = GrpcServer.start(bindAddress(this.settings.ports().peer()), tlsIdentity(), this.eventLoops,
				new PeerService(this.stamper, this::submit, this.requests::serveJoin));
		Node node = new Node(nodeSettings(peers.port()));
		WorkerPool workers = new WorkerPool(node, this.clock, this::execute, this.settings.workers());
		PeerLinks links = new PeerLinks(this.stamper, workers, (vm) -> addressOfPeer(node, vm), tlsIdentity(),
				this.eventLoops);
		StreamFollowers followers = new StreamFollowers(this.platform, workers, this.scheduler);
		PendingPublishes publishes = new PendingPublishes(workers);
		registerActions(workers, links, followers, publishes);
		GrpcServer operators = GrpcServer.start(bindAddress(this.settings.ports().operator()), tlsIdentity(),
				this.eventLoops,
				new OperatorService(node, this.clock, this.timeline, publishes, this::drain, version()));
		HealthServer health = HealthServer.start(bindAddress(this.settings.ports().metrics()), this.eventLoops,
				READY_PATH, this.metrics::scrape, () -> isReady(node));
		CallerServer callers = CallerServer.start(bindAddress(this.settings.ports().caller()), this.eventLoops,
				this.requests, new RequestIds(this.settings.vm(), this.startedAtMillis), callerLimits(), this.clock,
				() -> this.draining);
		this.components = Optional
			.of(new Components(node, workers, links, followers, peers, operators, health, callers));
		this.metrics.registerRequestsInFlight(this.requests::inFlight);
		this.metrics.registerCatalogueRevision(() -> node.catalogue().revision());
		new VmListPoller(this.platform, workers).start(this.scheduler);
		new Ticker(workers).start(this.scheduler, this.settings.tickMillis());
		return new RouterPorts(callers.port(), peers.port(), operators.port(), health.port());
	}

	private void registerActions(WorkerPool workers, PeerLinks links, StreamFollowers followers,
			PendingPublishes publishes) {
		this.requests.register(this.actions, workers);
		links.register(this.actions);
		followers.register(this.actions);
		publishes.register(this.actions);
		TargetPoller poller = new TargetPoller(this.targets, workers);
		this.actions.on(PollTarget.class, poller::poll)
			.on(RecordEvent.class, (action) -> this.timeline.record(action.event(), this.clock.nowMillis()))
			.on(DrainFinished.class, (action) -> this.drained.countDown());
	}

	private void execute(NodeAction action) {
		this.metrics.count(action);
		this.actions.execute(action);
	}

	private void submit(NodeEvent event) {
		this.components.ifPresent((components) -> components.workers().submit(event));
	}

	private Components requireStarted() {
		return this.components.orElseThrow(() -> new IllegalStateException("The router has not been started"));
	}

	private boolean isReady(Node node) {
		return !this.draining && node.catalogue().revision() > 0;
	}

	private NodeSettings nodeSettings(int peerPort) {
		long seed = (this.settings.seed() != 0) ? this.settings.seed() : this.startedAtMillis;
		int advertisedPort = this.settings.ports().advertisedPeer();
		return new NodeSettings(this.settings.vm(), this.settings.domain(), this.settings.host(),
				(advertisedPort != 0) ? advertisedPort : peerPort, this.startedAtMillis, seed, this.settings.policy());
	}

	private static Optional<PeerAddress> addressOfPeer(Node node, VmId vm) {
		return node.findPeer(vm)
			.filter((heartbeat) -> heartbeat.port() > 0)
			.map((heartbeat) -> new PeerAddress(heartbeat.host(), heartbeat.port()));
	}

	private InetSocketAddress bindAddress(int port) {
		return new InetSocketAddress(this.settings.host(), port);
	}

	private Optional<TlsIdentity> tlsIdentity() {
		return this.settings.tls().map((files) -> new TlsIdentity(files.certificate(), files.key(), files.trust()));
	}

	private CallerLimits callerLimits() {
		RouterSettings.Limits limits = this.settings.limits();
		return new CallerLimits(limits.lineBytes(), limits.headerBytes(), limits.bodyBytes(), MAX_TOTAL_BODY_BYTES,
				MAX_BUFFERED_RESPONSE_BYTES, limits.idleMillis());
	}

	/**
	 * Returns the version of the router.
	 * @return the version from the manifest, or a placeholder if the classes are not
	 * loaded from the JAR file
	 */
	public static String version() {
		return Optional.ofNullable(Router.class.getPackage().getImplementationVersion()).orElse("development");
	}

	/**
	 * Starts a drain: the router accepts no new requests and finishes those in flight.
	 * @param deadlineMillis time at which requests still in flight are abandoned, 0 to
	 * apply the drain time of the settings
	 */
	public void drain(long deadlineMillis) {
		long effectiveDeadlineMillis = (deadlineMillis > 0) ? deadlineMillis
				: this.clock.nowMillis() + this.settings.drainMillis();
		logger.info("Draining, deadline {} (epoch milliseconds)", effectiveDeadlineMillis);
		this.drainDeadlineMillis = effectiveDeadlineMillis;
		this.draining = true;
		submit(new DrainRequested(effectiveDeadlineMillis));
		this.scheduler.schedule(this.drained::countDown, Math.max(0, effectiveDeadlineMillis - this.clock.nowMillis()),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Waits until all requests and open responses have ended or the drain deadline has
	 * passed.
	 * @throws InterruptedException if the thread is interrupted while waiting
	 */
	public void awaitDrained() throws InterruptedException {
		this.drained.await();
		while (requireStarted().callers().openResponses() > 0 && this.clock.nowMillis() < this.drainDeadlineMillis) {
			TimeUnit.MILLISECONDS.sleep(OPEN_RESPONSES_POLL_MILLIS);
		}
		// Gives the transport time to send the last messages to other routers.
		TimeUnit.MILLISECONDS.sleep(SHUTDOWN_GRACE_MILLIS);
	}

	@Override
	public void close() {
		this.components.ifPresent(Components::close);
		this.scheduler.shutdownNow();
		closeQuietly(this.platform);
		closeQuietly(this.targets);
		this.timeoutTimer.stop();
		this.eventLoops.shutdownGracefully(0, SHUTDOWN_GRACE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static void closeQuietly(AutoCloseable client) {
		try {
			client.close();
		}
		catch (Exception ex) {
			logger.debug("Could not close a client", ex);
		}
	}

	/**
	 * The components that exist once the router has started.
	 *
	 * @param node the node
	 * @param workers threads that pass events to the node
	 * @param links connections to other routers
	 * @param followers readers of the platform's log
	 * @param peers gRPC server for other routers
	 * @param operators gRPC server for operators
	 * @param health the HTTP server for metrics and probes
	 * @param callers the HTTP server for callers
	 */
	private record Components(Node node, WorkerPool workers, PeerLinks links, StreamFollowers followers,
			GrpcServer peers, GrpcServer operators, HealthServer health, CallerServer callers) {

		void close() {
			this.callers.close();
			this.followers.stopAll();
			this.operators.close();
			this.health.close();
			this.workers.close();
			this.links.close();
			this.peers.close();
		}

	}

}
