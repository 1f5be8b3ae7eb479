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
import org.mustardlane.router.caller.RequestIdGenerator;
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

	private final ActionTable actionTable = new ActionTable();

	private final CountDownLatch drainedLatch = new CountDownLatch(1);

	private final PlatformClient platformClient;

	private final TargetClient targetClient;

	private final RequestActions requestActions;

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
		this.platformClient = new PlatformClient(settings.platformUrl(), this.eventLoops, this.timeoutTimer);
		this.targetClient = new TargetClient(this.eventLoops, this.timeoutTimer, this.clock);
		this.requestActions = new RequestActions(settings.vm(), this.targetClient,
				(holder, requestId, sink) -> requireStarted().peerLinks().joinResponse(holder, requestId, sink),
				MAX_RESPONSE_COPY_BYTES);
	}

	// AsyncHttpClient does not accept the successor of the deprecated group.
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
		GrpcServer peerServer = GrpcServer.start(bindAddress(this.settings.ports().peer()), tlsIdentity(),
				this.eventLoops, new PeerService(this.stamper, this::submit, this.requestActions::joinResponse));
		Node node = new Node(nodeSettings(peerServer.port()));
		WorkerPool workers = new WorkerPool(node, this.clock, this::execute, this.settings.workers());
		PeerLinks peerLinks = new PeerLinks(this.stamper, workers, (vm) -> addressOfPeer(node, vm), tlsIdentity(),
				this.eventLoops);
		StreamFollowers streamFollowers = new StreamFollowers(this.platformClient, workers, this.scheduler);
		PendingPublishes pendingPublishes = new PendingPublishes(workers);
		registerActions(workers, peerLinks, streamFollowers, pendingPublishes);
		GrpcServer operatorServer = GrpcServer.start(bindAddress(this.settings.ports().operator()), tlsIdentity(),
				this.eventLoops,
				new OperatorService(node, this.clock, this.timeline, pendingPublishes, this::drain, version()));
		HealthServer healthServer = HealthServer.start(bindAddress(this.settings.ports().metrics()), this.eventLoops,
				READY_PATH, this.metrics::scrape, () -> isReady(node));
		CallerServer callerServer = CallerServer.start(bindAddress(this.settings.ports().caller()), this.eventLoops,
				this.requestActions, new RequestIdGenerator(this.settings.vm(), this.startedAtMillis), callerLimits(),
				this.clock, () -> this.draining);
		this.components = Optional.of(new Components(node, workers, peerLinks, streamFollowers, peerServer,
				operatorServer, healthServer, callerServer));
		this.metrics.registerRequestsInFlight(this.requestActions::requestsInFlight);
		this.metrics.registerCatalogueRevision(() -> node.catalogue().revision());
		new VmListPoller(this.platformClient, workers).start(this.scheduler);
		new Ticker(workers).start(this.scheduler, this.settings.tickMillis());
		return new RouterPorts(callerServer.port(), peerServer.port(), operatorServer.port(), healthServer.port());
	}

	private void registerActions(WorkerPool workers, PeerLinks peerLinks, StreamFollowers streamFollowers,
			PendingPublishes pendingPublishes) {
		this.requestActions.register(this.actionTable, workers);
		peerLinks.register(this.actionTable);
		streamFollowers.register(this.actionTable);
		pendingPublishes.register(this.actionTable);
		TargetPoller targetPoller = new TargetPoller(this.targetClient, workers);
		this.actionTable.on(PollTarget.class, targetPoller::poll)
			.on(RecordEvent.class, (record) -> this.timeline.record(record.event(), this.clock.nowMillis()))
			.on(DrainFinished.class, (action) -> this.drainedLatch.countDown());
	}

	private void execute(NodeAction action) {
		this.metrics.count(action);
		this.actionTable.execute(action);
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
		this.scheduler.schedule(this.drainedLatch::countDown,
				Math.max(0, effectiveDeadlineMillis - this.clock.nowMillis()), TimeUnit.MILLISECONDS);
	}

	/**
	 * Waits until all requests and open responses have ended or the drain deadline has
	 * passed.
	 * @throws InterruptedException if the thread is interrupted while waiting
	 */
	public void awaitDrained() throws InterruptedException {
		this.drainedLatch.await();
		while (requireStarted().callerServer().openResponses() > 0
				&& this.clock.nowMillis() < this.drainDeadlineMillis) {
			TimeUnit.MILLISECONDS.sleep(OPEN_RESPONSES_POLL_MILLIS);
		}
		// Gives the transport time to send the last messages to other routers.
		TimeUnit.MILLISECONDS.sleep(SHUTDOWN_GRACE_MILLIS);
	}

	@Override
	public void close() {
		this.components.ifPresent(Components::close);
		this.scheduler.shutdownNow();
		closeQuietly(this.platformClient);
		closeQuietly(this.targetClient);
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
	 * @param peerLinks connections to other routers
	 * @param streamFollowers readers of the platform's log
	 * @param peerServer gRPC server for other routers
	 * @param operatorServer gRPC server for operators
	 * @param healthServer HTTP server for metrics and probes
	 * @param callerServer HTTP server for callers
	 */
	private record Components(Node node, WorkerPool workers, PeerLinks peerLinks, StreamFollowers streamFollowers,
			GrpcServer peerServer, GrpcServer operatorServer, HealthServer healthServer, CallerServer callerServer) {

		void close() {
			this.callerServer.close();
			this.streamFollowers.stopAll();
			this.operatorServer.close();
			this.healthServer.close();
			this.workers.close();
			this.peerLinks.close();
			this.peerServer.close();
		}

	}

}
