package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpResponseStatus;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.route.EngineSpec;
import org.mustardlane.core.route.Organisation;
import org.mustardlane.core.route.PoolSpec;
import org.mustardlane.core.route.Route;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.core.route.StartRules;
import org.mustardlane.core.route.StopRules;
import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.front.CallHandler;
import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.front.OpenCall;
import org.mustardlane.gateway.front.Rejection;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.CallHead;

/**
 * Finds the route of each call and begins its exchange.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class CallRouter implements CallHandler {

	/**
	 * Another router can serve the call at once.
	 */
	private static final long STOPPING_MILLIS = 50;

	private final ExchangeServices services;

	private final Supplier<OptionalLong> endsAtMillis;

	private final long startedAtMillis;

	private int openCalls;

	/**
	 * Creates a router of calls.
	 * @param services what all calls share
	 * @param endsAtMillis when the process ends, empty while no stop is in progress
	 */
	public CallRouter(ExchangeServices services, Supplier<OptionalLong> endsAtMillis) {
		this.services = services;
		this.endsAtMillis = endsAtMillis;
		this.startedAtMillis = services.nowMillis();
	}

	@Override
	public Optional<Rejection> check(CallHead head) {
		return rejection(head, this.services.nowMillis());
	}

	private Optional<Rejection> rejection(CallHead head, long arrivedAtMillis) {
		if (this.services.knowledge().isComplete()) {
			return this.services.knowledge().routes().flatMap((known) -> rejectionIn(known, head));
		}
		if (this.services.nowMillis() < holdUntilMillis(head, arrivedAtMillis)) {
			return Optional.empty();
		}
		long waited = this.services.nowMillis() - arrivedAtMillis;
		return Optional.of(Rejection.passing(HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
				"The router does not know the routes yet", StartRules.retryAfterMillis(waited, head.patienceMillis())));
	}

	private long holdUntilMillis(CallHead head, long arrivedAtMillis) {
		return StartRules.holdUntilMillis(this.startedAtMillis, arrivedAtMillis, head.patienceMillis());
	}

	private Optional<Rejection> rejectionIn(RouteTable table, CallHead head) {
		Optional<Route> route = table.find(head.host(), head.path());
		if (route.isEmpty()) {
			return Optional.of(Rejection.lasting(HttpResponseStatus.NOT_FOUND.code(), "No route"));
		}
		if (table.needsKey(route.get()) && organisation(table, head).isEmpty()) {
			return Optional.of(Rejection.lasting(HttpResponseStatus.UNAUTHORIZED.code(), "The key is not known"));
		}
		return rejectionWhileStopping(route.get());
	}

	private Optional<Rejection> rejectionWhileStopping(Route route) {
		OptionalLong end = this.endsAtMillis.get();
		if (end.isEmpty() || StopRules.takes(route, end.getAsLong() - this.services.nowMillis())) {
			return Optional.empty();
		}
		return Optional
			.of(Rejection.passing(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), "The router stops", STOPPING_MILLIS));
	}

	private static Optional<Organisation> organisation(RouteTable table, CallHead head) {
		return head.key().flatMap(table::organisationOf);
	}

	@Override
	public OpenCall open(Call call, CallerChannel caller) {
		// The routes may have changed since the head arrived.
		Optional<Rejection> rejection = rejection(call.head(), call.arrivedAtMillis());
		if (rejection.isPresent()) {
			this.services.log()
				.write(LogEvent.CALLER_REJECTED, "requestId", call.head().requestId(), "status",
						rejection.get().status(), "reason", rejection.get().reason());
			caller.reject(rejection.get());
			return NoCall.INSTANCE;
		}
		return this.services.knowledge().isComplete() ? route(call, caller) : hold(call, caller);
	}

	private OpenCall hold(Call call, CallerChannel caller) {
		long untilMillis = holdUntilMillis(call.head(), call.arrivedAtMillis());
		this.services.log()
			.write(LogEvent.CALL_HELD, "requestId", call.head().requestId(), "atMostMillis",
					untilMillis - this.services.nowMillis());
		StartingCall waiting = new StartingCall(this.services, () -> open(call, caller), untilMillis);
		waiting.start();
		return waiting;
	}

	private OpenCall route(Call call, CallerChannel caller) {
		RouteTable table = this.services.knowledge().routes().orElseThrow();
		Route route = table.find(call.head().host(), call.head().path()).orElseThrow();
		PoolId pool = route.pickPool(this.services.draw());
		boolean copies = table.pool(pool).flatMap(PoolSpec::engine).filter(EngineSpec::copies).isPresent();
		RoutedCall routed = new RoutedCall(call, route, pool, organisation(table, call.head()), copies,
				table.version());
		this.openCalls++;
		Exchange exchange = new Exchange(this.services, routed, caller, () -> this.openCalls--);
		exchange.start();
		return exchange;
	}

	/**
	 * Counts the calls in progress.
	 * @return the number
	 */
	public int openCalls() {
		return this.openCalls;
	}

}
