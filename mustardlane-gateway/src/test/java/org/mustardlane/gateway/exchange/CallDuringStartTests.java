package org.mustardlane.gateway.exchange;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.placement.FleetPosition;
import org.mustardlane.core.retry.RetryLimits;
import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.core.route.RequestSemantics;
import org.mustardlane.core.route.Route;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.core.route.WeightedPool;
import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.front.OpenCall;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.RoutingState;
import org.mustardlane.gateway.quarantine.CallQuarantine;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.GatewayMetrics;
import org.mustardlane.gateway.report.LogRateLimiter;
import org.mustardlane.gateway.resumption.StreamVersions;
import org.mustardlane.gateway.standin.FakeCaller;
import org.mustardlane.gateway.wire.CallHead;
import org.mustardlane.gateway.wire.MalformedRecordException;
import org.mustardlane.gateway.wire.RecordDecoder;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of calls that arrive before a router has loaded its routes. The clock moves only
 * when the test sets it.
 */
public class CallDuringStartTests {

	private final AtomicLong nowMillis = new AtomicLong();

	private EventLoop loop;

	private RoutingState routingState;

	private CallRouter router;

	private FakeCaller caller;

	@BeforeMethod
	public void open() {
		this.nowMillis.set(0);
		this.loop = new DefaultEventLoop();
		this.caller = new FakeCaller();
		DecisionLog log = new DecisionLog(new LogRateLimiter(100, this.nowMillis::get), this.nowMillis::get);
		this.routingState = new RoutingState(new SingleRouteDecoder(), log, this.nowMillis::get, () -> {
		});
		ExchangeContext context = new ExchangeContext(this.loop, this.routingState, null, null, this.nowMillis::get,
				log, new GatewayMetrics(), () -> new RetryLimits(0.2, 100, 10_000), null, Map::of,
				() -> new FleetPosition(0, 1), () -> {
				}, new LoopLag(250, 0), new CallQuarantine(this.nowMillis::get, this.nowMillis::get, log),
				new StreamVersions(this.routingState.targets(), Runnable::run, null, this.loop, this.nowMillis::get,
						log, () -> 1),
				new DomainId("north"), () -> 0.5);
		this.router = new CallRouter(context, Optional::empty);
	}

	@AfterMethod
	public void close() {
		this.loop.shutdownGracefully();
	}

	private <T> T onLoop(Callable<T> task) throws InterruptedException, ExecutionException {
		return this.loop.submit(task).get();
	}

	private OpenCall openCall() throws InterruptedException, ExecutionException {
		CallHead head = new CallHead("r-1", "h.example", "/x/1", Optional.empty(), OptionalLong.of(900),
				Optional.empty(), Optional.empty());
		Call call = new Call(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/1"), head, new byte[0],
				this.nowMillis.get());
		return onLoop(() -> this.router.open(call, this.caller));
	}

	private void loadRoutes() throws InterruptedException, ExecutionException {
		onLoop(() -> {
			this.routingState.applyRoutes(new KeyedRecord("routes", LogPosition.START, Optional.of(new byte[0])),
					"log");
			this.routingState.replaceTargets(List.of(), LogPosition.START);
			return true;
		});
	}

	@Test
	public void deferredCallIsRoutedOnceTheRoutesAreLoaded() throws InterruptedException, ExecutionException {
		openCall();
		assertEquals(onLoop(this.caller::status).intValue(), 0);
		loadRoutes();
		await().until(this.caller::isEnded);
		assertEquals(this.caller.body(), "No target takes the call\n");
	}

	@Test
	public void deferredCallIsRejectedWhileItsCallerCanStillRetryInTime()
			throws InterruptedException, ExecutionException {
		openCall();
		assertEquals(onLoop(this.caller::status).intValue(), 0);
		this.nowMillis.set(300);
		await().until(this.caller::isEnded);
		assertEquals(this.caller.status(), 503);
		assertEquals(this.caller.header("Retry-After"), "0.150");
	}

	@Test
	public void callAfterTheStartPeriodIsRejectedAtOnce() throws InterruptedException, ExecutionException {
		this.nowMillis.set(1000);
		openCall();
		assertEquals(this.caller.status(), 503);
	}

	@Test
	public void callOfADisconnectedCallerIsNotRouted() throws InterruptedException, ExecutionException {
		OpenCall openCall = openCall();
		onLoop(() -> {
			openCall.onCallerDisconnected();
			return true;
		});
		loadRoutes();
		assertEquals(onLoop(this.router::openCalls).intValue(), 0);
		assertTrue(this.caller.body().isEmpty());
	}

	private static final class SingleRouteDecoder implements RecordDecoder {

		@Override
		public Optional<RouteTable> decodeRoutes(String key, byte[] body) {
			Route route = new Route("x", "h.example", "/x/", RequestSemantics.IDEMPOTENT, 5000, 200, 0, 0,
					List.of(new WeightedPool(new PoolId("desk"), 1)), 2, true);
			return Optional.of(new RouteTable(1, List.of(route), List.of(), Map.of(), false,
					new RequestLimits(16_384, 100_000, 3000, 15_000)));
		}

		@Override
		public TargetEntry decodeTarget(String key, byte[] body) throws MalformedRecordException {
			throw new MalformedRecordException("this test publishes no targets");
		}

	}

}
