package org.mustardlane.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.placement.FleetPosition;
import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.gateway.exchange.CallRouter;
import org.mustardlane.gateway.exchange.ExchangeContext;
import org.mustardlane.gateway.exchange.LoopLag;
import org.mustardlane.gateway.front.CallHandler;
import org.mustardlane.gateway.front.FrontServer;
import org.mustardlane.gateway.front.FrontSettings;
import org.mustardlane.gateway.knowledge.AddressPublisher;
import org.mustardlane.gateway.knowledge.LogConnections;
import org.mustardlane.gateway.knowledge.LogEpoch;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.knowledge.PauseDetector;
import org.mustardlane.gateway.knowledge.ReadPolicy;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.knowledge.RoutersListener;
import org.mustardlane.gateway.knowledge.RoutesListener;
import org.mustardlane.gateway.knowledge.RoutingState;
import org.mustardlane.gateway.knowledge.TargetsListener;
import org.mustardlane.gateway.knowledge.Topic;
import org.mustardlane.gateway.knowledge.TopicFollower;
import org.mustardlane.gateway.peer.PeerGossip;
import org.mustardlane.gateway.peer.RouterEndpoint;
import org.mustardlane.gateway.quarantine.CallQuarantine;
import org.mustardlane.gateway.quarantine.QuarantineRecords;
import org.mustardlane.gateway.relay.RelayDialect;
import org.mustardlane.gateway.relay.RelayHandler;
import org.mustardlane.gateway.relay.RelayServer;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.GatewayMetrics;
import org.mustardlane.gateway.report.GuardedTask;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.report.LogRateLimiter;
import org.mustardlane.gateway.resumption.StreamVersions;
import org.mustardlane.gateway.target.TargetClient;
import org.mustardlane.router.JavaLoggingBridge;
import org.mustardlane.router.metrics.HealthServer;
import org.mustardlane.router.peer.GrpcServer;
import org.mustardlane.router.peer.PeerAddress;
import org.mustardlane.router.peer.PeerDialer;
import org.mustardlane.router.settings.SettingFinding;

/**
 * Router that serves callers on one platform, which an adapter connects.
 *
 * <p>
 * All state is confined to one event loop; the public methods may be called from any
 * thread.
 */
public final class Gateway implements AutoCloseable {

	private static final int MAX_LINES_PER_SECOND = 50;

	private static final int MAINTENANCE_INTERVAL_MILLIS = 250;

	/**
	 * How long the start waits for routes and targets from the platform's log before it
	 * also contacts other routers.
	 */
	private static final int ROUTING_STATE_TIMEOUT_MILLIS = 1000;

	/**
	 * Limits in force until the first routes, which carry their own limits, are loaded.
	 */
	private static final RequestLimits DEFAULT_LIMITS = new RequestLimits(16_384, 4_194_304, 3000, 15_000);

	private volatile GatewaySettings settings;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final EventLoopGroup eventLoops = createEventLoops();

	private final EventLoop loop = this.eventLoops.next();

	private final DecisionLog log = new DecisionLog(new LogRateLimiter(MAX_LINES_PER_SECOND, this.clock::nowMillis),
			this.clock::nowMillis);

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final LoopLag loopLag = new LoopLag(MAINTENANCE_INTERVAL_MILLIS, this.clock.nowMillis());

	private final CallQuarantine quarantine;

	private final RoutingState routingState;

	private final TargetClient targetClient;

	private final TargetClient relayClient;

	private final RelayServer relayServer;

	private final StreamVersions streamVersions;

	private final ExchangeContext context;

	private final CallRouter callRouter;

	private final FrontServer frontServer;

	private final TopicFollower routesFollower;

	private final TopicFollower targetsFollower;

	private final TopicFollower routersFollower;

	private final TopicFollower quarantinesFollower;

	private final RecordLog recordLog;

	private final AddressPublisher addressPublisher;

	private volatile Optional<PeerGossip> peerGossip = Optional.empty();

	private final PauseDetector pauseDetector;

	private final CountDownLatch routingReady = new CountDownLatch(1);

	private final GracefulShutdown shutdown;

	private volatile int peerPort;

	/**
	 * Creates a gateway that does not listen yet.
	 * @param settings settings of the daemon
	 * @param adapter adapter of the platform
	 */
	public Gateway(GatewaySettings settings, GatewayAdapter adapter) {
		this.settings = settings;
		this.shutdown = new GracefulShutdown(this.loop, this.clock, this.log, () -> this.settings.drainMillis());
		this.routingState = new RoutingState(adapter.decoder(), this.log, this.clock, this.routingReady::countDown);
		this.quarantine = new CallQuarantine(this.clock, System::currentTimeMillis, this.log);
		this.targetClient = new TargetClient(this.loop, adapter.dialect(), this.clock);
		this.relayClient = new TargetClient(this.loop, new RelayDialect(adapter.dialect()), this.clock);
		this.recordLog = adapter.openLog(this.eventLoops);
		this.streamVersions = new StreamVersions(this.routingState.targets(), this::readTargetsNow, this.recordLog,
				this.loop, this.clock, this.log, () -> fleetPosition().routers());
		this.context = new ExchangeContext(this.loop, this.routingState, adapter.dialect(), this.targetClient,
				this.clock, this.log, this.metrics, () -> this.settings.retryLimits(), this.relayClient,
				this::otherRouters, this::fleetPosition, this::announceNews, this.loopLag, this.quarantine,
				this.streamVersions, settings.domain(), () -> ThreadLocalRandom.current().nextDouble());
		this.callRouter = new CallRouter(this.context, this.shutdown::window);
		this.quarantine.addListener(this.callRouter);
		this.frontServer = createServer(adapter, this.callRouter, DEFAULT_LIMITS.headerBytes());
		this.relayServer = new RelayServer(createServer(adapter, new RelayHandler(this.callRouter::openRelayed),
				DEFAULT_LIMITS.headerBytes() + RelayServer.ADDED_HEADER_BYTES), this.log);
		LogEpoch logEpoch = new LogEpoch();
		logEpoch.addRestorationListener(this.streamVersions::onLogRestored);
		LogConnections connections = new LogConnections(this.log);
		this.addressPublisher = new AddressPublisher(this.recordLog, settings.vm(), this.loop, this.log);
		this.routesFollower = new TopicFollower(this.recordLog, Topic.ROUTES,
				ReadPolicy.longPolling(settings.maxRoutesDelayMillis()),
				new RoutesListener(this.routingState, this.log), this.loop, logEpoch, connections);
		this.targetsFollower = new TopicFollower(this.recordLog, Topic.TARGETS,
				ReadPolicy.polling(settings.maxLeavingDelayMillis()),
				new TargetsListener(this.routingState, this.streamVersions::reload, this.log), this.loop, logEpoch,
				connections);
		this.routersFollower = new TopicFollower(this.recordLog, Topic.ROUTERS, ReadPolicy.INFREQUENT,
				new RoutersListener(this::addPeer, this.addressPublisher, this.log), this.loop, logEpoch, connections);
		QuarantineRecords quarantineRecords = new QuarantineRecords(this.quarantine, this.recordLog, this.loop,
				this.log);
		this.quarantine.addListener(quarantineRecords);
		this.quarantinesFollower = new TopicFollower(this.recordLog, Topic.QUARANTINES, ReadPolicy.RARE_CHANGES,
				quarantineRecords, this.loop, logEpoch, connections);
		this.pauseDetector = new PauseDetector(this.clock, System::currentTimeMillis);
	}

	private FrontServer createServer(GatewayAdapter adapter, CallHandler handler, int maxHeaderBytes) {
		return new FrontServer(this.loop, adapter.dialect(), handler, this::requestLimits,
				FrontSettings.withHeaders(maxHeaderBytes), this.shutdown::isStarted, this.clock, this.log);
	}

	private void addPeer(String vm, String address) {
		if (!vm.isEmpty()) {
			RouterEndpoint.parse(address)
				.ifPresent((endpoint) -> this.peerGossip.ifPresent((gossip) -> gossip.addPeer(new VmId(vm), endpoint)));
		}
	}

	private FleetPosition fleetPosition() {
		return this.peerGossip.map(PeerGossip::position).orElse(PeerGossip.ASSUMED_POSITION);
	}

	private void readTargetsNow(Runnable onApplied) {
		this.targetsFollower.readNow(onApplied);
	}

	private Map<VmId, PeerAddress> otherRouters() {
		return this.peerGossip.map(PeerGossip::callAddresses).orElse(Map.of());
	}

	private void announceNews() {
		this.peerGossip.ifPresent(PeerGossip::onNews);
	}

	// AsyncHttpClient does not accept the newer event loop groups of Netty.
	@SuppressWarnings("deprecation")
	private static EventLoopGroup createEventLoops() {
		return new NioEventLoopGroup(1, new DefaultThreadFactory("io", true));
	}

	private RequestLimits requestLimits() {
		return this.routingState.routes().map(RouteTable::limits).orElse(DEFAULT_LIMITS);
	}

	/**
	 * Starts to listen and to read the platform's log.
	 * @throws IOException if an address cannot be bound
	 */
	public void start() throws IOException {
		this.frontServer.start(this.settings.callerAddress());
		startHealthServer(this.settings.healthAddress());
		this.loop.execute(this.routesFollower::start);
		this.loop.execute(this.targetsFollower::start);
		this.loop.execute(this.streamVersions::start);
		this.loop.execute(this.quarantinesFollower::start);
		this.loop.scheduleAtFixedRate(new GuardedTask("maintenance", this::runMaintenance, this.log),
				MAINTENANCE_INTERVAL_MILLIS, MAINTENANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		// Callers are waiting after a power loss, so everything that serves them starts
		// first.
		if (awaitRoutingState()) {
			delayPeerStart();
		}
		openDecisionLog();
		startPeers();
		startHealthServer(this.settings.metricsAddress());
		this.loop.execute(this::openMetrics);
		this.loop.execute(() -> this.log.write(LogEvent.STARTED, "vm", this.settings.vm(), "domain",
				this.settings.domain(), "callers", this.settings.callerAddress().getHostString() + ":" + callerPort()));
	}

	private void openMetrics() {
		this.metrics.open();
		this.metrics.registerOpenCalls(this.callRouter::openCalls);
		this.metrics.registerRoutesVersion(this.routingState::routesVersion);
		this.metrics.registerQuarantines(() -> this.quarantine.active().size());
		this.metrics.registerReadyTargets(() -> this.routingState.targets().readyCount());
	}

	private boolean awaitRoutingState() {
		try {
			return this.routingReady.await(ROUTING_STATE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private void delayPeerStart() {
		try {
			this.shutdown.awaitEnd(this.settings.peerStartDelayMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The logging library takes longer to start than everything else together.
	private void openDecisionLog() {
		JavaLoggingBridge.install();
		Logger logger = LogManager.getLogger("decision");
		this.loop.execute(() -> this.log.open(logger));
	}

	private void startPeers() throws IOException {
		InetSocketAddress address = this.settings.peerAddress();
		PeerGossip gossip = new PeerGossip(this.settings.vm(), this.settings.seeds(), this.routingState,
				this.context.loads(), this.quarantine, new PeerDialer(Optional.empty(), this.eventLoops), this.loop,
				this.clock, this.log);
		GrpcServer server = GrpcServer.start(address, Optional.empty(), this.eventLoops, gossip);
		this.peerGossip = Optional.of(gossip);
		PeerAddress ownAddress = new PeerAddress(address.getHostString(), server.port());
		this.peerPort = server.port();
		RouterEndpoint endpoint = new RouterEndpoint(ownAddress, this.relayServer.start(this.settings.relayAddress()));
		this.loop.execute(() -> gossip.start(endpoint));
		// Only now, as the addresses that are read go to the gossip.
		this.loop.execute(this.routersFollower::start);
		this.loop.execute(() -> this.addressPublisher.publish(endpoint.toText()));
	}

	private void startHealthServer(InetSocketAddress address) throws IOException {
		HealthServer.start(address, this.eventLoops, this.settings.readyPath(), this.metrics::scrape, this::isReady);
	}

	private void runMaintenance() {
		this.loopLag.tick(this.clock.nowMillis());
		this.routingState.expireTargets();
		this.streamVersions.observe();
		this.quarantine.evaluate();
		this.context.loads().retain(this.routingState.targets().targetIds());
		this.targetClient.closeExpired();
		this.relayClient.closeExpired();
		this.callRouter.checkSilence();
		this.pauseDetector.check().ifPresent((pause) -> {
			this.log.warn(LogEvent.PAUSE_NOTICED, "steadyMillis", pause.monotonicMillis(), "wallMillis",
					pause.wallMillis());
			// The routes and targets may be outdated, and pending long polls may never
			// complete.
			this.routesFollower.start();
			this.targetsFollower.start();
			this.quarantinesFollower.start();
			this.streamVersions.reload();
			this.targetClient.closeIdle();
			this.relayClient.closeIdle();
		});
	}

	/**
	 * Returns the port that callers connect to.
	 * @return the TCP port
	 */
	public int callerPort() {
		return this.frontServer.port();
	}

	/**
	 * Returns the port that other routers connect to.
	 * @return the TCP port, 0 before the port is bound
	 */
	public int peerPort() {
		return this.peerPort;
	}

	/**
	 * Returns the version of the routes in force.
	 * @return the version, -1 if no routes are loaded
	 */
	public long routesVersion() {
		return this.routingState.routesVersion();
	}

	/**
	 * Applies new settings. Addresses and names keep their values from the start of the
	 * process.
	 * @param newSettings the new settings
	 */
	public void reload(GatewaySettings newSettings) {
		this.settings = newSettings;
		this.loop.execute(() -> this.log.write(LogEvent.RELOADED, "retryRatio", newSettings.retryLimits().ratio(),
				"fixedRepeats", newSettings.retryLimits().fixedRepeats(), "drainMillis", newSettings.drainMillis()));
	}

	/**
	 * Logs that new settings are invalid; the previous settings stay in force.
	 * @param findings errors in the new settings
	 */
	public void reportRejectedSettings(List<SettingFinding> findings) {
		this.loop.execute(
				() -> findings.forEach((finding) -> this.log.warn(LogEvent.SETTINGS_REJECTED, "finding", finding)));
	}

	private boolean isReady() {
		return !this.shutdown.isStarted() && this.routingState.isComplete();
	}

	/**
	 * Starts a graceful shutdown: reports the daemon as not ready to the load balancer,
	 * completes the calls in progress and serves arriving calls until all connections are
	 * idle or the drain time has passed.
	 */
	public void drain() {
		this.loop.execute(() -> this.shutdown.start(this.callRouter, this.frontServer));
	}

	/**
	 * Waits for the end of a graceful shutdown.
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return true if the shutdown has finished, false after the timeout
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean awaitDrained(long timeoutMillis) throws InterruptedException {
		return this.shutdown.awaitEnd(timeoutMillis);
	}

	@Override
	public void close() {
		this.eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

}
