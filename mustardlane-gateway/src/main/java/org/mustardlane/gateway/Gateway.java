package org.mustardlane.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.gateway.exchange.CallRouter;
import org.mustardlane.gateway.exchange.ExchangeServices;
import org.mustardlane.gateway.front.FrontServer;
import org.mustardlane.gateway.front.FrontSettings;
import org.mustardlane.gateway.knowledge.FollowPace;
import org.mustardlane.gateway.knowledge.Knowledge;
import org.mustardlane.gateway.knowledge.PauseDetector;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.knowledge.RoutersListener;
import org.mustardlane.gateway.knowledge.RoutesListener;
import org.mustardlane.gateway.knowledge.SteadyClock;
import org.mustardlane.gateway.knowledge.TargetsListener;
import org.mustardlane.gateway.knowledge.Topic;
import org.mustardlane.gateway.knowledge.TopicFollower;
import org.mustardlane.gateway.peer.PeerExchange;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.GatewayMetrics;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.report.RateLimit;
import org.mustardlane.gateway.target.TargetClient;
import org.mustardlane.router.JavaLogging;
import org.mustardlane.router.metrics.HealthServer;
import org.mustardlane.router.peer.GrpcServer;
import org.mustardlane.router.peer.PeerAddress;
import org.mustardlane.router.peer.PeerDialer;
import org.mustardlane.router.settings.SettingFinding;

/**
 * One router that serves callers over a platform's adapter.
 *
 * <p>
 * All state is confined to one event loop; the public methods may be called from any
 * thread.
 */
public final class Gateway implements AutoCloseable {

	private static final int LINES_PER_SECOND = 50;

	/**
	 * Bodies are copied once on their way; the rest of the heap is for everything else.
	 */
	private static final int BODIES_PART_OF_HEAP = 5;

	private static final int REVIEW_MILLIS = 250;

	/**
	 * How long the start waits for the platform's log before it turns to other routers.
	 */
	private static final int KNOWLEDGE_WAIT_MILLIS = 1000;

	/**
	 * Shares of the fleet's limits while fewer routers are known: the limits must hold
	 * also where routers do not know each other yet.
	 */
	private static final int LEAST_SHARES = 8;

	private static final int ANNOUNCE_RETRY_MILLIS = 1000;

	/**
	 * The balancer checks once a second and stops to send new connections after two
	 * missed checks.
	 */
	private static final int ROTATED_OUT_MILLIS = 2500;

	/**
	 * Connections that crossed the last check have shown their call by then.
	 */
	private static final int LEAST_DRAIN_MILLIS = 3000;

	private static final int DRAIN_POLL_MILLIS = 50;

	/**
	 * Limits that hold until routes with their own limits are known.
	 */
	private static final RequestLimits FIRST_LIMITS = new RequestLimits(16_384, 4_194_304, 3000, 15_000);

	private volatile GatewaySettings settings;

	private final SteadyClock clock = SteadyClock.SYSTEM;

	private final EventLoopGroup loops = ioThread();

	private final EventLoop loop = this.loops.next();

	private final DecisionLog log = new DecisionLog(new RateLimit(LINES_PER_SECOND, this.clock::nowMillis),
			this.clock::nowMillis);

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final Knowledge knowledge;

	private final ExchangeServices services;

	private final CallRouter calls;

	private final FrontServer front;

	private final TopicFollower routesFollower;

	private final TopicFollower targetsFollower;

	private final TopicFollower routersFollower;

	private final RecordLog records;

	private volatile Optional<PeerExchange> peers = Optional.empty();

	private final PauseDetector pauses;

	private final CountDownLatch known = new CountDownLatch(1);

	private final CountDownLatch drained = new CountDownLatch(1);

	private volatile boolean draining;

	private long drainStartedAtMillis;

	private volatile int peerPort;

	/**
	 * Creates a gateway that does not listen yet.
	 * @param settings the settings
	 * @param adapter the platform
	 */
	public Gateway(GatewaySettings settings, GatewayAdapter adapter) {
		this.settings = settings;
		this.knowledge = new Knowledge(adapter.decoder(), this.log, this.clock, this.known::countDown);
		TargetClient client = new TargetClient(this.loop, adapter.dialect(), this.clock);
		this.services = new ExchangeServices(this.loop, this.knowledge, adapter.dialect(), client, this.clock, this.log,
				this.metrics, () -> this.settings.retryLimits(), this::sharers, settings.domain(),
				() -> ThreadLocalRandom.current().nextDouble());
		this.calls = new CallRouter(this.services, this::endsAtMillis);
		this.front = new FrontServer(this.loop, adapter.dialect(), this.calls, this::limits,
				new FrontSettings(FIRST_LIMITS.headerBytes(), Runtime.getRuntime().maxMemory() / BODIES_PART_OF_HEAP),
				() -> this.draining, this.clock, this.log);
		this.records = adapter.openLog(this.loops);
		this.routesFollower = new TopicFollower(this.records, Topic.ROUTES,
				FollowPace.waiting(settings.changeBoundMillis()), new RoutesListener(this.knowledge, this.log),
				this.loop);
		this.targetsFollower = new TopicFollower(this.records, Topic.TARGETS,
				FollowPace.polling(settings.leavingBoundMillis()), new TargetsListener(this.knowledge, this.log),
				this.loop);
		this.routersFollower = new TopicFollower(this.records, Topic.ROUTERS, FollowPace.SELDOM,
				new RoutersListener(this::routerFound, this.log), this.loop);
		this.pauses = new PauseDetector(this.clock, System::currentTimeMillis);
	}

	private void routerFound(String vm, String address) {
		if (!vm.isEmpty()) {
			PeerExchange.parse(address)
				.ifPresent((where) -> this.peers.ifPresent((exchange) -> exchange.found(new VmId(vm), where)));
		}
	}

	private int sharers() {
		return Math.max(LEAST_SHARES, this.peers.map(PeerExchange::sharers).orElse(LEAST_SHARES));
	}

	// AsyncHttpClient accepts no newer kind of group.
	@SuppressWarnings("deprecation")
	private static EventLoopGroup ioThread() {
		return new NioEventLoopGroup(1, new DefaultThreadFactory("io", true));
	}

	private RequestLimits limits() {
		return this.knowledge.routes().map(RouteTable::limits).orElse(FIRST_LIMITS);
	}

	/**
	 * Starts to listen and to read the platform's log.
	 * @throws IOException if an address can not be used
	 */
	public void start() throws IOException {
		this.front.start(this.settings.callerAddress());
		serveHealth(this.settings.healthAddress());
		this.loop.execute(this.routesFollower::start);
		this.loop.execute(this.targetsFollower::start);
		this.loop.scheduleAtFixedRate(this::review, REVIEW_MILLIS, REVIEW_MILLIS, TimeUnit.MILLISECONDS);
		// After a loss of power callers wait: what serves them comes first.
		if (awaitKnowledge()) {
			serveAlone();
		}
		openLog();
		this.loop.execute(this.routersFollower::start);
		startPeers();
		serveHealth(this.settings.metricsAddress());
		this.metrics.gaugeOpenCalls(this.calls::openCalls);
		this.metrics.gaugeRoutesVersion(this.knowledge::routesVersion);
		this.metrics.gaugeReadyTargets(() -> this.knowledge.targets().readyCount());
		this.loop.execute(() -> this.log.write(LogEvent.STARTED, "vm", this.settings.vm(), "domain",
				this.settings.domain(), "callers", this.settings.callerAddress().getHostString() + ":" + callerPort()));
	}

	private boolean awaitKnowledge() {
		try {
			return this.known.await(KNOWLEDGE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private void serveAlone() {
		try {
			this.drained.await(this.settings.serveFirstMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The logging library takes longer to start than all else.
	private void openLog() {
		JavaLogging.install();
		Logger logger = LogManager.getLogger("decision");
		this.loop.execute(() -> this.log.open(logger));
	}

	private void startPeers() throws IOException {
		InetSocketAddress address = this.settings.peerAddress();
		PeerExchange exchange = new PeerExchange(this.settings.vm(), this.settings.seeds(), this.knowledge,
				this.services.loads(), new PeerDialer(Optional.empty(), this.loops), this.loop, this.clock, this.log);
		GrpcServer server = GrpcServer.start(address, Optional.empty(), this.loops, exchange);
		this.peers = Optional.of(exchange);
		PeerAddress own = new PeerAddress(address.getHostString(), server.port());
		this.peerPort = server.port();
		this.loop.execute(() -> exchange.start(own));
		this.loop.execute(() -> announce(own));
	}

	private void serveHealth(InetSocketAddress address) throws IOException {
		HealthServer.start(address, this.loops, this.settings.readyPath(), this.metrics::scrape, this::isReady);
	}

	private void announce(PeerAddress own) {
		// Once is enough: the log keeps the newest record of each router.
		byte[] body = (own.host() + ":" + own.port()).getBytes(StandardCharsets.UTF_8);
		this.records.put(Topic.ROUTERS, this.settings.vm().value(), body).whenComplete((done, failure) -> {
			if (failure != null) {
				this.loop.schedule(() -> announce(own), ANNOUNCE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void review() {
		this.knowledge.review();
		this.services.loads().retain(this.knowledge.targets().present());
		this.pauses.check().ifPresent((pause) -> {
			this.log.warn(LogEvent.PAUSE_NOTICED, "steadyMillis", pause.steadyMillis(), "wallMillis",
					pause.wallMillis());
			// What is known may be old, and waiting reads may never end.
			this.routesFollower.start();
			this.targetsFollower.start();
		});
	}

	/**
	 * Returns the port on which callers are served.
	 * @return the TCP port
	 */
	public int callerPort() {
		return this.front.port();
	}

	/**
	 * Returns the port on which other routers are served.
	 * @return the TCP port
	 */
	public int peerPort() {
		return this.peerPort;
	}

	/**
	 * Returns the version of the routes in force.
	 * @return the version, -1 where none is known
	 */
	public long routesVersion() {
		return this.knowledge.routesVersion();
	}

	/**
	 * Takes changed settings. Addresses and names stay as they were at the start.
	 * @param changed the settings
	 */
	public void reload(GatewaySettings changed) {
		this.settings = changed;
		this.loop.execute(() -> this.log.write(LogEvent.RELOADED, "retryRatio", changed.retryLimits().ratio(),
				"fixedRepeats", changed.retryLimits().fixedRepeats(), "drainMillis", changed.drainMillis()));
	}

	/**
	 * Notes that changed settings can not be used.
	 * @param findings what is wrong with them
	 */
	public void settingsRejected(List<SettingFinding> findings) {
		this.loop.execute(
				() -> findings.forEach((finding) -> this.log.warn(LogEvent.SETTINGS_REJECTED, "finding", finding)));
	}

	private OptionalLong endsAtMillis() {
		return this.draining ? OptionalLong.of(this.drainStartedAtMillis + this.settings.drainMillis())
				: OptionalLong.empty();
	}

	private boolean isReady() {
		return !this.draining && this.knowledge.isComplete();
	}

	/**
	 * Starts to drain: tells the balancer, finishes what is in progress and goes on
	 * serving what still arrives until the connections are idle or the time is up.
	 */
	public void drain() {
		this.loop.execute(() -> {
			if (this.draining) {
				return;
			}
			this.drainStartedAtMillis = this.clock.nowMillis();
			this.draining = true;
			this.log.write(LogEvent.DRAINING, "openCalls", this.calls.openCalls());
			endWhenIdle();
		});
	}

	private void endWhenIdle() {
		long elapsed = this.clock.nowMillis() - this.drainStartedAtMillis;
		if (elapsed >= ROTATED_OUT_MILLIS) {
			// A caller that kept its connection would come back to a router that ends.
			this.front.closeIdleConnections();
		}
		boolean idle = this.calls.openCalls() == 0 && this.front.busyConnections() == 0;
		if ((idle && elapsed >= LEAST_DRAIN_MILLIS) || elapsed >= this.settings.drainMillis()) {
			this.log.write(LogEvent.STOPPED, "openCalls", this.calls.openCalls(), "drainMillis", elapsed);
			this.front.stopListening();
			this.drained.countDown();
			return;
		}
		this.loop.schedule(this::endWhenIdle, DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Waits for the end of a planned stop.
	 * @param waitMillis how long to wait at most
	 * @return whether the stop has ended
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean awaitDrained(long waitMillis) throws InterruptedException {
		return this.drained.await(waitMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

}
