package org.mustardlane.gateway.knowledge;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogRateLimiter;
import org.mustardlane.gateway.wire.MalformedRecordException;
import org.mustardlane.gateway.wire.RecordDecoder;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests which targets a router considers present during and after an outage of the log.
 */
public class RoutingStateTests {

	private static final PoolId POOL = new PoolId("pool");

	private final AtomicLong nowMillis = new AtomicLong();

	private RoutingState ownState;

	private RoutingState peerState;

	@BeforeMethod
	public void createStates() {
		this.nowMillis.set(0);
		this.ownState = createState();
		this.peerState = createState();
		for (RoutingState state : List.of(this.ownState, this.peerState)) {
			state.applyRoutes(liveRecord("routes", 0), "log");
			state.replaceTargets(List.of(liveRecord("t-1", 10), liveRecord("t-2", 11)), new LogPosition(0, 12));
		}
	}

	private RoutingState createState() {
		return new RoutingState(new AcceptAllDecoder(),
				new DecisionLog(new LogRateLimiter(100, this.nowMillis::get), this.nowMillis::get), this.nowMillis::get,
				() -> {
				});
	}

	private static KeyedRecord liveRecord(String key, long offset) {
		return new KeyedRecord(key, new LogPosition(0, offset), Optional.of(new byte[0]));
	}

	private static KeyedRecord removalRecord(String key, long offset) {
		return new KeyedRecord(key, new LogPosition(0, offset), Optional.empty());
	}

	private List<String> readyTargets(RoutingState state) {
		return state.targets().readyTargets(POOL).stream().map((target) -> target.id().value()).sorted().toList();
	}

	@Test
	public void targetRemovedDuringALogOutageIsRemovedByRecordsOfAPeer() {
		this.ownState.setLogUnavailable(true);
		this.peerState.applyTargets(List.of(removalRecord("t-1", 20), liveRecord("t-2", 30)));
		this.ownState.setLogUnavailable(false);
		this.ownState.replaceTargets(List.of(liveRecord("t-2", 30)), new LogPosition(0, 31));
		assertEquals(readyTargets(this.ownState), List.of("t-1", "t-2"));
		assertTrue(this.ownState.needsPeerRecords());
		this.ownState.applyRelayedTargets(this.peerState.targetRecordsAfter(this.ownState.peerRequestPosition()));
		assertEquals(readyTargets(this.ownState), List.of("t-2"));
	}

	@Test
	public void missingTargetIsRemovedAfterTheGracePeriodWithoutPeers() {
		this.ownState.setLogUnavailable(true);
		this.ownState.setLogUnavailable(false);
		this.ownState.replaceTargets(List.of(liveRecord("t-2", 30)), new LogPosition(0, 31));
		this.nowMillis.set(2499);
		this.ownState.expireTargets();
		assertEquals(readyTargets(this.ownState), List.of("t-1", "t-2"));
		this.nowMillis.set(2500);
		this.ownState.expireTargets();
		assertEquals(readyTargets(this.ownState), List.of("t-2"));
		assertFalse(this.ownState.needsPeerRecords());
	}

	@Test
	public void targetRemovedAfterARestorationOfTheLogIsRemovedByRecordsOfAPeer() {
		this.ownState.setLogUnavailable(true);
		this.peerState.replaceTargets(
				List.of(new KeyedRecord("t-1", new LogPosition(1, 2), Optional.of(new byte[0])),
						new KeyedRecord("t-2", new LogPosition(1, 3), Optional.of(new byte[0]))),
				new LogPosition(1, 4));
		this.peerState.applyTargets(List.of(new KeyedRecord("t-1", new LogPosition(1, 4), Optional.empty())));
		this.nowMillis.set(2500);
		this.peerState.expireTargets();
		this.ownState.applyRelayedTargets(this.peerState.targetRecordsAfter(this.ownState.peerRequestPosition()));
		assertEquals(readyTargets(this.ownState), List.of("t-2"));
	}

	@Test
	public void peerWithUnreliableRemovalsRelaysNoRecords() {
		this.peerState.setLogUnavailable(true);
		this.peerState.setLogUnavailable(false);
		assertEquals(this.peerState.targetRecordsAfter(new LogPosition(0, 0)), List.of());
	}

	@Test
	public void routerWithAnAvailableLogRequestsOnlyNewRecords() {
		assertFalse(this.ownState.needsPeerRecords());
		assertEquals(this.ownState.peerRequestPosition(), new LogPosition(0, 11));
	}

	@DataProvider
	public Object[][] decodingFailures() {
		return new Object[][] { { "malformed" }, { "exception" }, { "stack-overflow" } };
	}

	// Guards against one record that keeps the others from being applied (review/1).
	@Test(dataProvider = "decodingFailures")
	public void recordThatCannotBeDecodedAffectsNoOtherRecord(String oddKey) {
		this.ownState.applyTargets(List.of(liveRecord(oddKey, 20), removalRecord("t-1", 21), liveRecord("t-3", 22)));
		assertEquals(readyTargets(this.ownState), List.of("t-2", "t-3"));
		this.ownState.replaceTargets(List.of(liveRecord("t-2", 11), liveRecord(oddKey, 20), liveRecord("t-4", 30)),
				new LogPosition(0, 31));
		assertEquals(readyTargets(this.ownState), List.of("t-2", "t-4"));
		this.ownState.applyRelayedTargets(List.of(liveRecord(oddKey, 40), removalRecord("t-2", 41)));
		assertEquals(readyTargets(this.ownState), List.of("t-4"));
	}

	@Test(dataProvider = "decodingFailures")
	public void routesThatCannotBeDecodedDoNotReplaceTheRoutes(String oddKey) {
		this.ownState.applyRoutes(liveRecord(oddKey, 20), "log");
		assertEquals(this.ownState.routesVersion(), 1);
	}

	private static final class AcceptAllDecoder implements RecordDecoder {

		@Override
		public Optional<RouteTable> decodeRoutes(String key, byte[] body) throws MalformedRecordException {
			failIfOdd(key);
			return Optional.of(new RouteTable(1, List.of(), List.of(), Map.of(), false,
					new RequestLimits(16_384, 100_000, 3000, 15_000)));
		}

		@Override
		public TargetEntry decodeTarget(String key, byte[] body) throws MalformedRecordException {
			failIfOdd(key);
			return new TargetEntry(new TargetId(key), POOL, "127.0.0.1", 1, new DomainId("north"), 4, "v1",
					TargetState.READY, 0, 0);
		}

		private static void failIfOdd(String key) throws MalformedRecordException {
			switch (key) {
				case "malformed" -> throw new MalformedRecordException("odd record");
				case "exception" -> throw new IllegalStateException("odd record");
				case "stack-overflow" -> throw new StackOverflowError();
				default -> {
				}
			}
		}

	}

}
