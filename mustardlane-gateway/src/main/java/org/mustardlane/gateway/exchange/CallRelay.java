package org.mustardlane.gateway.exchange;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpRequest;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.placement.PoolReachability;
import org.mustardlane.gateway.relay.RelayHeaders;
import org.mustardlane.gateway.relay.RelayRequest;
import org.mustardlane.router.peer.PeerAddress;

/**
 * Decides whether one call is passed on to another router, because this one reaches no
 * target, and to which. A call that another router has passed on stays here.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class CallRelay {

	/**
	 * Number of targets that could not be connected to, after which the call goes to
	 * another router although the pool is not yet known as unreachable. As many routers
	 * may be out of reach as well.
	 */
	private static final int MAX_CONNECT_FAILURES = 2;

	/**
	 * Each router that declines costs a round trip.
	 */
	private static final int MAX_ROUTERS = 8;

	private static final PoolId ROUTERS = new PoolId("routers");

	private final ExchangeContext context;

	private final RoutedCall routedCall;

	private final Exchange exchange;

	private final Set<VmId> declinedRouters = new HashSet<>();

	private int connectFailures;

	private int unreachedRouters;

	CallRelay(ExchangeContext context, RoutedCall routedCall, Exchange exchange) {
		this.context = context;
		this.routedCall = routedCall;
		this.exchange = exchange;
	}

	/**
	 * Records that a target could not be connected to.
	 */
	void recordConnectFailure() {
		this.connectFailures++;
	}

	/**
	 * Returns whether the call is to be passed on rather than sent to a target. A call
	 * that may test whether the targets are reached again is not passed on.
	 * @return true if another router is to take the call over
	 */
	boolean isNeeded() {
		if (this.routedCall.relayed()) {
			return false;
		}
		return this.connectFailures >= MAX_CONNECT_FAILURES
				|| (isPoolUnreachable() && !reachability().tryStartTrial(this.context.nowMillis()));
	}

	private boolean isPoolUnreachable() {
		return reachability().isUnreachable(this.context.nowMillis());
	}

	private PoolReachability reachability() {
		return this.context.reachability(this.routedCall.pool());
	}

	/**
	 * Chooses the router that is asked to take the call over.
	 * @return an attempt to send the call to that router, empty if none is left
	 */
	Optional<RelayAttempt> nextAttempt() {
		if (this.declinedRouters.size() >= MAX_ROUTERS || this.unreachedRouters >= MAX_CONNECT_FAILURES) {
			return Optional.empty();
		}
		Map<VmId, PeerAddress> routers = this.context.routers();
		Optional<VmId> chosen = this.context.relayPeers()
			.choose(routers.keySet(), this.declinedRouters, this.routedCall.pool(), this.context.nextRandom(),
					this.context.nowMillis());
		return chosen.map((router) -> new RelayAttempt(this.context, this.exchange,
				entryOf(router, routers.get(router)), this::createRequest));
	}

	private Optional<HttpRequest> createRequest() {
		return this.exchange.remainingMillisIfWanted().map((remainingMillis) -> {
			HttpRequest request = this.context.dialect()
				.createRelayRequest(this.routedCall.call().request(), remainingMillis,
						this.exchange.responseSink().lastEventId());
			RelayHeaders.writeRequest(request.headers(),
					new RelayRequest(this.routedCall.routesVersion(), this.exchange.callTargets().origin()));
			return request;
		});
	}

	private TargetEntry entryOf(VmId router, PeerAddress address) {
		return new TargetEntry(new TargetId(router.value()), ROUTERS, address.host(), address.port(),
				this.context.domain(), 0, "", TargetState.READY, 0, 0);
	}

	/**
	 * Returns whether the router that has passed the call on is to ask another one.
	 * @return true if this router has failed to connect to the targets too
	 */
	boolean isReturned() {
		return this.routedCall.relayed() && this.connectFailures >= MAX_CONNECT_FAILURES && isPoolUnreachable();
	}

	/**
	 * Returns whether neither this router nor any other known one reaches the pool.
	 * @return false also if no other router is known
	 */
	boolean isHopeless() {
		return isPoolUnreachable() && !this.context.routers().isEmpty();
	}

	/**
	 * Records that a router has not taken the call over.
	 * @param router the router
	 * @param isReached whether the router could be connected to
	 * @param detail why it has not
	 */
	void recordDeclined(TargetEntry router, boolean isReached, String detail) {
		this.unreachedRouters += isReached ? 0 : 1;
		VmId vm = new VmId(router.id().value());
		this.declinedRouters.add(vm);
		this.context.relayPeers().recordDeclined(vm, this.routedCall.pool(), this.context.nowMillis());
		this.exchange.report().recordDeclined(router.id().value(), detail);
	}

}
