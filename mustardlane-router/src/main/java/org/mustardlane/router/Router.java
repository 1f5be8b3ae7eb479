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
 * One router: the node with its input and output.
 */
public final class Router implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(Router.class);

	private static final int HELD_ANSWER_BYTES = 262_144;

	private static final int COPY_BYTES = 131_072;

	private static final int ALL_BODIES_BYTES = 64 * 1024 * 1024;

	private static final int TIMELINE_EVENTS = 20_000;

	private static final int IO_THREADS = 2;

	private static final int GRACE_MILLIS = 500;

	private static final int FLUSH_POLL_MILLIS = 10;

	private static final String READY_PATH = "/readyz";

	private final RouterSettings settings;

	private final RouterClock clock = new RouterClock();

	private final long startedAtMillis = this.clock.nowMillis();

	private final EventLoopGroup loops = ioThreads();

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor(new DefaultThreadFactory("timer", true));

	private final HashedWheelTimer timeouts = new HashedWheelTimer(new DefaultThreadFactory("timeouts", true));

	private final RouterMetrics metrics = new RouterMetrics();

	private final HybridClock hybridClock = new HybridClock();

	private final TimelineBuffer timeline;

	private final ActionTable actions = new ActionTable();

	private final CountDownLatch drained = new CountDownLatch(1);

	private final PlatformClient platform;

	private final TargetClient targets;

	private final RequestActions requests;

	private final PeerStamp stamp;

	private volatile Optional<Started> started = Optional.empty();

	private volatile boolean draining;

	private volatile long drainDeadlineMillis;

	/**
	 * Creates a router that does not listen yet.
	 * @param settings the settings
	 */
	public Router(RouterSettings settings) {
		this.settings = settings;
		this.stamp = new PeerStamp(settings.vm(), this.hybridClock, this.clock);
		this.timeline = new TimelineBuffer(this.hybridClock, settings.vm(), settings.domain(), TIMELINE_EVENTS);
		this.platform = new PlatformClient(settings.platformUrl(), this.loops, this.timeouts);
		this.targets = new TargetClient(this.loops, this.timeouts, this.clock);
		this.requests = new RequestActions(settings.vm(), this.targets,
				(holder, requestId, reader) -> running().links().join(holder, requestId, reader), COPY_BYTES);
	}

	// AsyncHttpClient accepts no newer kind of group.
	@SuppressWarnings("deprecation")
	private static EventLoopGroup ioThreads() {
		return new NioEventLoopGroup(IO_THREADS, new DefaultThreadFactory("io", true));
	}

	/**
	 * Starts to listen, to read the platform and to tick.
	 * @return the ports that are listened on
	 * @throws IOException if a port can not be used or a file can not be read
	 */
	public RouterPorts start() throws IOException {
		GrpcServer peers = GrpcServer.start(address(this.settings.ports().peer()), identity(), this.loops,
				new PeerService(this.stamp, this::submit, this.requests::serveJoin));
		Node node = new Node(nodeSettings(peers.port()));
		WorkerPool workers = new WorkerPool(node, this.clock, this::execute, this.settings.workers());
		PeerLinks links = new PeerLinks(this.stamp, workers, (vm) -> addressOf(node, vm), identity(), this.loops);
		StreamFollowers followers = new StreamFollowers(this.platform, workers, this.timer);
		PendingPublishes publishes = new PendingPublishes(workers);
		registerActions(workers, links, followers, publishes);
		GrpcServer operators = GrpcServer.start(address(this.settings.ports().operator()), identity(), this.loops,
				new OperatorService(node, this.clock, this.timeline, publishes, this::drain, version()));
		HealthServer health = HealthServer.start(address(this.settings.ports().metrics()), this.loops, READY_PATH,
				this.metrics::scrape, () -> isReady(node));
		CallerServer callers = CallerServer.start(address(this.settings.ports().caller()), this.loops, this.requests,
				new RequestIds(this.settings.vm(), this.startedAtMillis), callerLimits(), this.clock,
				() -> this.draining);
		this.started = Optional.of(new Started(node, workers, links, followers, peers, operators, health, callers));
		this.metrics.gaugeInFlight(this.requests::inFlight);
		this.metrics.gaugeCatalogueRevision(() -> node.catalogue().revision());
		new VmListPoller(this.platform, workers).start(this.timer);
		new Ticker(workers).start(this.timer, this.settings.tickMillis());
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
			.on(RecordEvent.class, (record) -> this.timeline.record(record.event(), this.clock.nowMillis()))
			.on(DrainFinished.class, (finished) -> this.drained.countDown());
	}

	private void execute(NodeAction action) {
		this.metrics.count(action);
		this.actions.execute(action);
	}

	private void submit(NodeEvent event) {
		this.started.ifPresent((running) -> running.workers().submit(event));
	}

	private Started running() {
		return this.started.orElseThrow(() -> new IllegalStateException("The router has not started"));
	}

	private boolean isReady(Node node) {
		return !this.draining && node.catalogue().revision() > 0;
	}

	private NodeSettings nodeSettings(int peerPort) {
		long seed = (this.settings.seed() != 0) ? this.settings.seed() : this.startedAtMillis;
		int advertised = this.settings.ports().advertisedPeer();
		return new NodeSettings(this.settings.vm(), this.settings.domain(), this.settings.host(),
				(advertised != 0) ? advertised : peerPort, this.startedAtMillis, seed, this.settings.policy());
	}

	private static Optional<PeerAddress> addressOf(Node node, VmId vm) {
		return node.findPeer(vm)
			.filter((heartbeat) -> heartbeat.port() > 0)
			.map((heartbeat) -> new PeerAddress(heartbeat.host(), heartbeat.port()));
	}

	private InetSocketAddress address(int port) {
		return new InetSocketAddress(this.settings.host(), port);
	}

	private Optional<TlsIdentity> identity() {
		return this.settings.tls().map((files) -> new TlsIdentity(files.certificate(), files.key(), files.trust()));
	}

	private CallerLimits callerLimits() {
		RouterSettings.Limits limits = this.settings.limits();
		return new CallerLimits(limits.lineBytes(), limits.headerBytes(), limits.bodyBytes(), ALL_BODIES_BYTES,
				HELD_ANSWER_BYTES, limits.idleMillis());
	}

	/**
	 * Returns the version of the program.
	 * @return the version, or a placeholder where it is not run from its archive
	 */
	public static String version() {
		return Optional.ofNullable(Router.class.getPackage().getImplementationVersion()).orElse("development");
	}

	/**
	 * Starts to drain: takes nothing new and finishes what is in flight.
	 * @param deadlineMillis when requests still in flight are given up, 0 for the time of
	 * the settings
	 */
	public void drain(long deadlineMillis) {
		long until = (deadlineMillis > 0) ? deadlineMillis : this.clock.nowMillis() + this.settings.drainMillis();
		logger.info("Draining until {}", until);
		this.drainDeadlineMillis = until;
		this.draining = true;
		submit(new DrainRequested(until));
		this.timer.schedule(this.drained::countDown, Math.max(0, until - this.clock.nowMillis()),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Waits until the router is drained or its drain deadline has passed.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitDrained() throws InterruptedException {
		this.drained.await();
		while (running().callers().openResponses() > 0 && this.clock.nowMillis() < this.drainDeadlineMillis) {
			TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MILLIS);
		}
		// What was written last is still on its way to the other routers.
		TimeUnit.MILLISECONDS.sleep(GRACE_MILLIS);
	}

	@Override
	public void close() {
		this.started.ifPresent(Started::close);
		this.timer.shutdownNow();
		closeQuietly(this.platform);
		closeQuietly(this.targets);
		this.timeouts.stop();
		this.loops.shutdownGracefully(0, GRACE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static void closeQuietly(AutoCloseable part) {
		try {
			part.close();
		}
		catch (Exception ex) {
			logger.debug("Could not close a part", ex);
		}
	}

	/**
	 * The parts that exist once the router has started.
	 *
	 * @param node the node
	 * @param workers hand events to the node
	 * @param links connections to other routers
	 * @param followers read the log
	 * @param peers listens for other routers
	 * @param operators listens for operators
	 * @param health listens for probes
	 * @param callers listens for callers
	 */
	private record Started(Node node, WorkerPool workers, PeerLinks links, StreamFollowers followers, GrpcServer peers,
			GrpcServer operators, HealthServer health, CallerServer callers) {

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
