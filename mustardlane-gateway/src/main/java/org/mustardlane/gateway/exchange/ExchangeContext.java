package org.mustardlane.gateway.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.placement.LeastLoadedPolicy;
import org.mustardlane.core.placement.LoadTable;
import org.mustardlane.core.placement.PlacementPolicy;
import org.mustardlane.core.placement.PrefixHolders;
import org.mustardlane.core.placement.PrefixPolicy;
import org.mustardlane.core.retry.RetryBudget;
import org.mustardlane.core.retry.RetryLimits;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.knowledge.RoutingState;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.GatewayMetrics;
import org.mustardlane.gateway.target.TargetClient;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * What all calls share.
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

	private final IntSupplier routerCount;

	private final DomainId domain;

	private final DoubleSupplier random;

	private final LoadTable loads = new LoadTable();

	private final PrefixHolders prefixHolders = new PrefixHolders();

	private final PlacementPolicy placementPolicy;

	private final Map<PoolId, RetryBudget> retryBudgets = new HashMap<>();

	/**
	 * Creates the shared parts.
	 * @param loop event loop of the daemon
	 * @param routingState routes and targets
	 * @param dialect headers of the platform
	 * @param client sends to targets
	 * @param clock the time
	 * @param log is told of decisions
	 * @param metrics counts outcomes
	 * @param retryLimits how many repeats a pool bears
	 * @param routerCount how many routers share the limits
	 * @param domain failure domain of this router
	 * @param random draws from 0 to below 1
	 */
	public ExchangeContext(EventLoop loop, RoutingState routingState, WireDialect dialect, TargetClient client,
			MonotonicClock clock, DecisionLog log, GatewayMetrics metrics, Supplier<RetryLimits> retryLimits,
			IntSupplier routerCount, DomainId domain, DoubleSupplier random) {
		this.loop = loop;
		this.routingState = routingState;
		this.dialect = dialect;
		this.client = client;
		this.clock = clock;
		this.log = log;
		this.metrics = metrics;
		this.retryLimits = retryLimits;
		this.routerCount = routerCount;
		this.domain = domain;
		this.random = random;
		this.placementPolicy = new PrefixPolicy(new LeastLoadedPolicy(random));
	}

	/**
	 * Notes the first send of a call.
	 * @param pool where it is sent
	 */
	void recordFirstSend(PoolId pool) {
		retryBudget(pool).firstSend(this.retryLimits.get(), this.clock.nowMillis());
	}

	/**
	 * Asks for a repeated send.
	 * @param pool where it would be sent
	 * @return whether it may be sent
	 */
	boolean tryAcquireRetry(PoolId pool) {
		return retryBudget(pool).tryRepeat(this.retryLimits.get(), this.routerCount.getAsInt(), this.clock.nowMillis());
	}

	private RetryBudget retryBudget(PoolId pool) {
		return this.retryBudgets.computeIfAbsent(pool, (id) -> new RetryBudget());
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

	long nowMillis() {
		return this.clock.nowMillis();
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
	 * @return the table, for use on the event loop only
	 */
	public LoadTable loads() {
		return this.loads;
	}

	PrefixHolders prefixHolders() {
		return this.prefixHolders;
	}

	PlacementPolicy placementPolicy() {
		return this.placementPolicy;
	}

}
