package org.mustardlane.gateway.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.placement.FleetPosition;
import org.mustardlane.core.placement.LeastLoadedPolicy;
import org.mustardlane.core.placement.LoadTable;
import org.mustardlane.core.placement.PlacementPolicy;
import org.mustardlane.core.placement.PoolReachability;
import org.mustardlane.core.placement.PrefixHolders;
import org.mustardlane.core.placement.PrefixPolicy;
import org.mustardlane.core.relay.RelayPeers;
import org.mustardlane.core.retry.RetryBudget;
import org.mustardlane.core.retry.RetryLimits;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.knowledge.RoutingState;
import org.mustardlane.gateway.quarantine.CallQuarantine;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.GatewayMetrics;
import org.mustardlane.gateway.resumption.StreamVersions;
import org.mustardlane.gateway.target.TargetClient;
import org.mustardlane.gateway.wire.WireDialect;
import org.mustardlane.router.peer.PeerAddress;

/**
 * Dependencies and state shared by all calls.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class ExchangeContext {

	private final EventLoop loop;

	private final RoutingState routingState;

	private final WireDialect dialect;

	private final TargetClient client;

	private final MonotonicClock clock;

	private final DecisionLog log;

	private final GatewayMetrics metrics;

	private final Supplier<RetryLimits> retryLimits;

	private final Supplier<FleetPosition> fleetPosition;

	private final Runnable newsAnnouncer;

	private final DomainId domain;

	private final DoubleSupplier random;

	private final LoadTable loads = new LoadTable();

	private final PrefixHolders prefixHolders = new PrefixHolders();

	private final PlacementPolicy placementPolicy;

	private final LoopLag loopLag;

	private final CallQuarantine quarantine;

	private final StreamVersions streamVersions;

	private final Map<PoolId, RetryBudget> retryBudgets = new HashMap<>();

	private final Map<PoolId, PoolReachability> reachabilities = new HashMap<>();

	private final TargetReports targetReports = new TargetReports(this);

	private final CrashCheck crashCheck = new CrashCheck(this);

	private final RelayPeers relayPeers = new RelayPeers();

	private final TargetClient relayClient;

	private final Supplier<Map<VmId, PeerAddress>> routers;

	/**
	 * Creates the shared context.
	 * @param loop event loop of the daemon
	 * @param routingState routes and targets
	 * @param dialect reads and writes the platform's headers
	 * @param client sends calls to targets
	 * @param clock monotonic clock
	 * @param log log of decisions
	 * @param metrics metrics of calls and attempts
	 * @param retryLimits supplies the limits of the retries to one pool
	 * @param relayClient sends calls to other routers
	 * @param routers supplies the addresses at which other routers take calls over
	 * @param fleetPosition supplies the position of this router among those that share
	 * the limits
	 * @param newsAnnouncer lets other routers know at once what this router has learnt
	 * @param loopLag detects that the event loop lags
	 * @param quarantine refuses calls that crash targets
	 * @param streamVersions tells at which software versions streams may go on
	 * @param domain failure domain of this router
	 * @param random supplies random numbers from 0 (inclusive) to 1 (exclusive)
	 */
	public ExchangeContext(EventLoop loop, RoutingState routingState, WireDialect dialect, TargetClient client,
			MonotonicClock clock, DecisionLog log, GatewayMetrics metrics, Supplier<RetryLimits> retryLimits,
			TargetClient relayClient, Supplier<Map<VmId, PeerAddress>> routers, Supplier<FleetPosition> fleetPosition,
			Runnable newsAnnouncer, LoopLag loopLag, CallQuarantine quarantine, StreamVersions streamVersions,
			DomainId domain, DoubleSupplier random) {
		this.loop = loop;
		this.routingState = routingState;
		this.dialect = dialect;
		this.client = client;
		this.clock = clock;
		this.log = log;
		this.metrics = metrics;
		this.retryLimits = retryLimits;
		this.relayClient = relayClient;
		this.routers = routers;
		this.fleetPosition = fleetPosition;
		this.newsAnnouncer = newsAnnouncer;
		this.loopLag = loopLag;
		this.quarantine = quarantine;
		this.streamVersions = streamVersions;
		this.domain = domain;
		this.random = random;
		this.placementPolicy = new PrefixPolicy(new LeastLoadedPolicy(random));
	}

	/**
	 * Records the first send of a call, which adds to the retry budget of its pool.
	 * @param pool pool that the call is sent to
	 */
	void recordFirstSend(PoolId pool) {
		retryBudget(pool).recordFirstSend(this.retryLimits.get(), this.clock.nowMillis());
	}

	/**
	 * Takes a retry from the budget of a pool.
	 * @param pool pool that the retry would be sent to
	 * @return true if the retry is allowed
	 */
	boolean tryAcquireRetry(PoolId pool) {
		return retryBudget(pool).tryAcquireRetry(this.retryLimits.get(), fleetPosition().routers(),
				this.clock.nowMillis());
	}

	private RetryBudget retryBudget(PoolId pool) {
		return this.retryBudgets.computeIfAbsent(pool, (id) -> new RetryBudget());
	}

	/**
	 * Returns whether this router reaches the targets of a pool.
	 * @param pool the pool
	 * @return the state of the pool
	 */
	PoolReachability reachability(PoolId pool) {
		return this.reachabilities.computeIfAbsent(pool, (id) -> new PoolReachability());
	}

	/**
	 * Records that a target could not be connected to.
	 * @param target the target
	 */
	void recordConnectFailure(TargetEntry target) {
		int readyTargets = this.routingState.targets().readyTargets(target.pool()).size();
		reachability(target.pool()).recordConnectFailure(target.id(), readyTargets, nowMillis());
	}

	CrashCheck crashCheck() {
		return this.crashCheck;
	}

	TargetReports targetReports() {
		return this.targetReports;
	}

	RelayPeers relayPeers() {
		return this.relayPeers;
	}

	TargetClient relayClient() {
		return this.relayClient;
	}

	/**
	 * Returns the addresses at which other routers take calls over.
	 * @return the addresses of the known routers
	 */
	Map<VmId, PeerAddress> routers() {
		return this.routers.get();
	}

	EventLoop loop() {
		return this.loop;
	}

	RoutingState routingState() {
		return this.routingState;
	}

	WireDialect dialect() {
		return this.dialect;
	}

	TargetClient client() {
		return this.client;
	}

	MonotonicClock clock() {
		return this.clock;
	}

	long nowMillis() {
		return this.clock.nowMillis();
	}

	boolean isLoopLagging() {
		return this.loopLag.isLagging(nowMillis());
	}

	DecisionLog log() {
		return this.log;
	}

	GatewayMetrics metrics() {
		return this.metrics;
	}

	DomainId domain() {
		return this.domain;
	}

	double nextRandom() {
		return this.random.getAsDouble();
	}

	/**
	 * Returns the loads of the targets.
	 * @return the table, which may only be used on the event loop
	 */
	public LoadTable loads() {
		return this.loads;
	}

	FleetPosition fleetPosition() {
		return this.fleetPosition.get();
	}

	void announceNews() {
		this.newsAnnouncer.run();
	}

	CallQuarantine quarantine() {
		return this.quarantine;
	}

	StreamVersions streamVersions() {
		return this.streamVersions;
	}

	PrefixHolders prefixHolders() {
		return this.prefixHolders;
	}

	PlacementPolicy placementPolicy() {
		return this.placementPolicy;
	}

}
