package org.mustardlane.gateway.exchange;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpResponseStatus;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.core.quarantine.Quarantine;
import org.mustardlane.core.route.EngineSpec;
import org.mustardlane.core.route.Organisation;
import org.mustardlane.core.route.PoolSpec;
import org.mustardlane.core.route.RequestSemantics;
import org.mustardlane.core.route.Route;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.core.route.ShutdownRules;
import org.mustardlane.core.route.ShutdownWindow;
import org.mustardlane.core.route.StartupRules;
import org.mustardlane.core.route.WeightedPool;
import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.front.CallHandler;
import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.front.EndedCall;
import org.mustardlane.gateway.front.OpenCall;
import org.mustardlane.gateway.front.Rejection;
import org.mustardlane.gateway.knowledge.RoutingState;
import org.mustardlane.gateway.quarantine.QuarantineListener;
import org.mustardlane.gateway.quarantine.QuarantineMatch;
import org.mustardlane.gateway.relay.RelayRequest;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.CallHead;
import org.mustardlane.gateway.wire.Resumption;

/**
 * Finds the route of each call and starts its exchange.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class CallRouter implements CallHandler, QuarantineListener {

	/**
	 * Short, because another router can serve the call at once.
	 */
	private static final long OTHER_ROUTER_RETRY_AFTER_MILLIS = 50;

	/**
	 * Calls of other routers that this one serves at the same time beside its own.
	 */
	private static final int MAX_RELAYED_CALLS = 256;

	private static final String PART_QUARANTINE_REASON = "The prompt has a part that crashes engines";

	private static final String CONTENT_QUARANTINE_REASON = "The request crashes the targets that run it";

	private final ExchangeContext context;

	private final Supplier<Optional<ShutdownWindow>> shutdown;

	private final long startedAtMillis;

	private final Set<Exchange> openExchanges = new HashSet<>();

	/**
	 * Creates a call router.
	 * @param context state shared by all calls
	 * @param shutdown supplies the time of a graceful shutdown, empty while none is in
	 * progress
	 */
	public CallRouter(ExchangeContext context, Supplier<Optional<ShutdownWindow>> shutdown) {
		this.context = context;
		this.shutdown = shutdown;
		this.startedAtMillis = context.nowMillis();
	}

	@Override
	public Optional<Rejection> checkHead(CallHead head) {
		return findRejection(head, this.context.nowMillis());
	}

	private Optional<Rejection> findRejection(CallHead head, long arrivedAtMillis) {
		if (this.context.routingState().isComplete()) {
			return this.context.routingState().routes().flatMap((table) -> findRouteRejection(table, head));
		}
		if (this.context.nowMillis() < deferralDeadlineMillis(head, arrivedAtMillis)) {
			return Optional.empty();
		}
		long waitedMillis = this.context.nowMillis() - arrivedAtMillis;
		return Optional.of(Rejection.temporary(HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
				"The router does not know the routes yet",
				StartupRules.retryAfterMillis(waitedMillis, head.timeoutMillis())));
	}

	private long deferralDeadlineMillis(CallHead head, long arrivedAtMillis) {
		return StartupRules.deferralDeadlineMillis(this.startedAtMillis, arrivedAtMillis, head.timeoutMillis());
	}

	private Optional<Rejection> findRouteRejection(RouteTable table, CallHead head) {
		Optional<Route> route = table.find(head.host(), head.path());
		if (route.isEmpty()) {
			return Optional.of(Rejection.permanent(HttpResponseStatus.NOT_FOUND.code(), "No route"));
		}
		if (table.requiresKey(route.get()) && findOrganisation(table, head).isEmpty()) {
			return Optional.of(Rejection.permanent(HttpResponseStatus.UNAUTHORIZED.code(), "The key is not known"));
		}
		List<CallFeature> promptParts = head.sharedParts().stream().map(CallFeature::ofPromptPart).toList();
		return findQuarantineRejection(promptParts).or(() -> findShutdownRejection(route.get(), head));
	}

	private Optional<Rejection> findQuarantineRejection(List<CallFeature> features) {
		return this.context.quarantine().find(features).map((quarantine) -> {
			this.context.metrics().recordQuarantinedCall();
			return Rejection.temporary(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), quarantineReason(quarantine),
					quarantine.remainingMillis());
		});
	}

	/**
	 * Returns why a quarantined call is refused.
	 * @param quarantine the quarantine
	 * @return the reason in the response to the caller
	 */
	static String quarantineReason(QuarantineMatch quarantine) {
		return quarantine.byContent() ? CONTENT_QUARANTINE_REASON : PART_QUARANTINE_REASON;
	}

	private Optional<Rejection> findShutdownRejection(Route route, CallHead head) {
		return this.shutdown.get()
			.filter((window) -> !ShutdownRules.accepts(route, head.timeoutMillis(), window, this.context.nowMillis()))
			.map((window) -> Rejection.temporary(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), "The router stops",
					OTHER_ROUTER_RETRY_AFTER_MILLIS));
	}

	private static Optional<Organisation> findOrganisation(RouteTable table, CallHead head) {
		return head.apiKey().flatMap(table::organisationOf);
	}

	@Override
	public OpenCall open(Call call, CallerChannel caller) {
		CallFeatures features = CallFeatures.of(call);
		// The routes may have changed since the head was checked.
		Optional<Rejection> rejection = findRejection(call.head(), call.arrivedAtMillis())
			.or(() -> findQuarantineRejection(features.all()));
		if (rejection.isPresent()) {
			return reject(call, caller, rejection.get());
		}
		return this.context.routingState().isComplete() ? startExchange(call, features, caller) : defer(call, caller);
	}

	private OpenCall defer(Call call, CallerChannel caller) {
		long deadlineMillis = deferralDeadlineMillis(call.head(), call.arrivedAtMillis());
		this.context.log()
			.write(LogEvent.CALL_HELD, "requestId", call.head().requestId(), "atMostMillis",
					deadlineMillis - this.context.nowMillis());
		DeferredCall deferredCall = new DeferredCall(this.context, () -> open(call, caller), deadlineMillis);
		deferredCall.openWhenReady();
		return deferredCall;
	}

	private OpenCall startExchange(Call call, CallFeatures features, CallerChannel caller) {
		RouteTable table = this.context.routingState().routes().orElseThrow();
		Route route = table.find(call.head().host(), call.head().path()).orElseThrow();
		Optional<Resumption> resumption = call.head().resumption();
		if (resumption.isPresent() && route.semantics() == RequestSemantics.RESUMABLE_STREAM) {
			return resume(call, features, caller, resumption.get(), route);
		}
		return startExchange(call, features, caller, table, route, Optional.empty(), false);
	}

	private OpenCall resume(Call call, CallFeatures features, CallerChannel caller, Resumption resumption,
			Route route) {
		List<PoolId> pools = route.pools().stream().map(WeightedPool::pool).toList();
		ResumedCall resumedCall = new ResumedCall((origin) -> openAt(call, features, caller, origin));
		this.context.streamVersions().find(resumption, pools, resumedCall::open);
		return resumedCall;
	}

	// The routes may have changed since the call arrived.
	private OpenCall openAt(Call call, CallFeatures features, CallerChannel caller, Optional<PoolVersion> origin) {
		Optional<RouteTable> table = this.context.routingState().routes();
		Optional<Route> route = table.flatMap((routes) -> routes.find(call.head().host(), call.head().path()));
		Optional<Rejection> rejection = findRejection(call.head(), call.arrivedAtMillis())
			.or(() -> checkOrigin(origin, route.orElseThrow()));
		if (rejection.isPresent()) {
			return reject(call, caller, rejection.get());
		}
		return startExchange(call, features, caller, table.orElseThrow(), route.orElseThrow(), origin, false);
	}

	private Optional<Rejection> checkOrigin(Optional<PoolVersion> origin, Route route) {
		boolean isKnown = origin
			.filter((version) -> route.pools().stream().anyMatch((pool) -> pool.pool().equals(version.pool())))
			.isPresent();
		if (isKnown) {
			return Optional.empty();
		}
		String reason = "It is not known where the stream began";
		int status = HttpResponseStatus.SERVICE_UNAVAILABLE.code();
		// A router that can read the log may know.
		return Optional.of(this.context.routingState().needsPeerRecords()
				? Rejection.temporary(status, reason, OTHER_ROUTER_RETRY_AFTER_MILLIS)
				: Rejection.permanent(status, reason));
	}

	/**
	 * Opens a call that another router has passed on.
	 * @param call the call
	 * @param request what the other router says about it
	 * @param router channel for the response
	 * @return the call in progress
	 */
	public OpenCall openRelayed(Call call, RelayRequest request, CallerChannel router) {
		Optional<Rejection> rejection = findRelayRejection(call, request);
		if (rejection.isPresent()) {
			return reject(call, router, rejection.get());
		}
		RouteTable table = this.context.routingState().routes().orElseThrow();
		Route route = table.find(call.head().host(), call.head().path()).orElseThrow();
		return startExchange(call, CallFeatures.of(call), router, table, route, request.origin(), true);
	}

	private Optional<Rejection> findRelayRejection(Call call, RelayRequest request) {
		RoutingState state = this.context.routingState();
		boolean isBusy = this.context.isLoopLagging() || openRelayedCalls() >= MAX_RELAYED_CALLS;
		if (!state.isComplete() || state.routesVersion() < request.routesVersion() || this.shutdown.get().isPresent()
				|| isBusy) {
			return Optional.of(declined("The router takes no calls over"));
		}
		return findRouteRejection(state.routes().orElseThrow(), call.head())
			.or(() -> findQuarantineRejection(CallFeatures.of(call).all()))
			.or(() -> findReachRejection(call.head(), request));
	}

	private Optional<Rejection> findReachRejection(CallHead head, RelayRequest request) {
		Route route = this.context.routingState()
			.routes()
			.flatMap((table) -> table.find(head.host(), head.path()))
			.orElseThrow();
		if (request.origin().isPresent()) {
			return checkOrigin(request.origin(), route).or(() -> checkReach(List.of(request.origin().get().pool())));
		}
		return checkReach(route.pools().stream().map(WeightedPool::pool).toList());
	}

	private Optional<Rejection> checkReach(List<PoolId> pools) {
		boolean isReached = pools.stream()
			.anyMatch((pool) -> !this.context.reachability(pool).isUnreachable(this.context.nowMillis()));
		return isReached ? Optional.empty() : Optional.of(declined("The router does not reach the targets"));
	}

	private Rejection declined(String reason) {
		return Rejection.temporary(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), reason,
				RetryAfter.refusalDelayMillis(this.context.nextRandom()));
	}

	private long openRelayedCalls() {
		return this.openExchanges.stream().filter((exchange) -> exchange.routedCall().relayed()).count();
	}

	/**
	 * Looks for calls whose targets have been silent for long.
	 */
	public void checkSilence() {
		this.openExchanges.forEach(Exchange::reportSilence);
	}

	private OpenCall reject(Call call, CallerChannel caller, Rejection rejection) {
		this.context.log()
			.write(LogEvent.CALLER_REJECTED, "requestId", call.head().requestId(), "status", rejection.status(),
					"reason", rejection.reason());
		caller.reject(rejection);
		return EndedCall.INSTANCE;
	}

	private OpenCall startExchange(Call call, CallFeatures features, CallerChannel caller, RouteTable table,
			Route route, Optional<PoolVersion> origin, boolean relayed) {
		PoolId pool = origin.map(PoolVersion::pool).orElseGet(() -> route.pickPool(this.context.nextRandom()));
		Optional<EngineSpec> engine = table.pool(pool).flatMap(PoolSpec::engine);
		RoutedCall routedCall = new RoutedCall(call, route, pool, findOrganisation(table, call.head()), engine,
				origin.map(PoolVersion::softwareVersion), features, table.version(), relayed);
		Exchange exchange = new Exchange(this.context, routedCall, caller, this.openExchanges::remove);
		this.openExchanges.add(exchange);
		exchange.start();
		return exchange;
	}

	/**
	 * Returns the number of calls in progress.
	 * @return the number of calls
	 */
	public int openCalls() {
		return this.openExchanges.size();
	}

	@Override
	public void onNews() {
		if (!this.context.quarantine().active().isEmpty()) {
			List.copyOf(this.openExchanges).forEach(Exchange::endIfQuarantined);
		}
	}

	@Override
	public void onDecision(Quarantine decision) {
		onNews();
	}

}
