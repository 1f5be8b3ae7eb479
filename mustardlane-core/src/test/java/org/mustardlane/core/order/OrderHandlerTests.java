package org.mustardlane.core.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.claim.FakeLog;
import org.mustardlane.core.event.OrderRequested;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.order.EngineOrder;
import org.mustardlane.core.model.order.OrderKind;
import org.mustardlane.core.model.order.OrderResult;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link OrderHandler}.
 */
public class OrderHandlerTests {

	private static final OrderSettings SETTINGS = new OrderSettings(6_000, 1_000, 60_000, 30_000, 3, 20_000, 5_000, 120,
			1_000);

	private static final int SEED_COUNT = Integer.getInteger("mustardlane.seeds", 200);

	private static final VmId VM_A = new VmId("a");

	private static final VmId VM_B = new VmId("b");

	private FakeIssuers issuers;

	@BeforeMethod
	public void startIssuers() {
		this.issuers = new FakeIssuers(SETTINGS, VM_A, VM_B);
		this.issuers.setLiveRouters(VM_A, VM_A);
	}

	@DataProvider
	public Object[][] appendFaults() {
		return new Object[][] { { FakeLog.Fault.NONE }, { FakeLog.Fault.LOST_REPLY } };
	}

	@Test(dataProvider = "appendFaults")
	public void orderIsSentOnceWithFencingNumberOfLease(FakeLog.Fault fault) {
		this.issuers.appendFault = () -> fault;
		request(VM_A, "decision", 1, OrderKind.LOAD_ADAPTER);
		request(VM_B, "decision", 1, OrderKind.LOAD_ADAPTER);
		this.issuers.advance(40_000);
		assertEquals(this.issuers.sentOrders.size(), 1);
		assertEquals(this.issuers.sentOrders.get(0).order().fencingNumber(), firstLeaseOffset());
	}

	private long firstLeaseOffset() {
		return this.issuers.log.records(StreamName.ORDERS)
			.stream()
			.filter((record) -> record.type().equals("order-lease.v1"))
			.findFirst()
			.orElseThrow()
			.offset();
	}

	private long countRecords(String type) {
		return this.issuers.log.records(StreamName.ORDERS)
			.stream()
			.filter((record) -> record.type().equals(type))
			.count();
	}

	@Test
	public void orderIsNotSentBeforeIssueIsReadBack() {
		this.issuers.advance(3_000);
		request(VM_A, "decision", 1, OrderKind.LOAD_ADAPTER);
		this.issuers.isLogReadable = false;
		this.issuers.advance(3_000);
		assertEquals(this.issuers.sentOrders.size(), 0);
	}

	@Test
	public void frozenHolderSendsNoOrderAfterLeaseExpiry() {
		this.issuers.advance(3_000);
		request(VM_A, "decision", 3, OrderKind.LOAD_ADAPTER);
		this.issuers.advance(50);
		this.issuers.isLogReadable = false;
		this.issuers.advance(50);
		assertEquals(countRecords("order-issue.v1"), 1);
		this.issuers.setFrozen(VM_A, true);
		this.issuers.isLogReadable = true;
		this.issuers.setLiveRouters(VM_B, VM_B);
		this.issuers.advance(20_000);
		request(VM_B, "later", 3, OrderKind.LOAD_MODEL);
		this.issuers.advance(15_000);
		this.issuers.setFrozen(VM_A, false);
		this.issuers.advance(5_000);
		assertTrue(this.issuers.sentOrders.stream()
			.allMatch((sent) -> sent.order().fencingNumber() != firstLeaseOffset()));
		assertEquals(this.issuers.sentOrders.size(), 2);
		assertSentOnce(0);
	}

	@Test
	public void orderToTargetWithoutFencingWaitsForClockMargin() {
		request(VM_A, "checking", 1, OrderKind.LOAD_ADAPTER);
		request(VM_A, "other", 3, OrderKind.LOAD_ADAPTER);
		this.issuers.advance(5_000);
		assertEquals(this.issuers.sentOrders.get(0).order().order().decisionId(), "checking");
		long waitMillis = this.issuers.sentOrders.get(1).sentAtMillis() - this.issuers.sentOrders.get(0).sentAtMillis();
		assertTrue(waitMillis >= SETTINGS.clockMarginMillis() - 200, "waited milliseconds: " + waitMillis);
	}

	@Test
	public void issueWithoutValidLeaseIsIgnored() {
		EngineOrder order = new EngineOrder("decision", new TargetId("engine1"), OrderKind.LOAD_ADAPTER, "subject",
				"value");
		this.issuers.log.write(StreamName.ORDERS,
				List.of(OrderCodec.encode(new OrderRecord.Decision(order, Long.MAX_VALUE)),
						OrderCodec.encode(new OrderRecord.Issue("decision", 77, "pool"))),
				this.issuers.nowMillis);
		this.issuers.advance(5_000);
		assertEquals(this.issuers.sentOrders.size(), 1);
	}

	@Test
	public void laterDecisionSupersedesWaitingDecision() {
		request(VM_A, "early", 1, OrderKind.LOAD_ADAPTER);
		request(VM_A, "late", 1, OrderKind.LOAD_ADAPTER);
		this.issuers.advance(5_000);
		assertEquals(this.issuers.sentOrders.size(), 1);
		assertEquals(this.issuers.sentOrders.get(0).order().order().decisionId(), "late");
	}

	@Test
	public void refusedOrderIsSentAgainWithHigherFencingNumber() {
		this.issuers.orderResult = () -> (this.issuers.nowMillis < 1_005_000) ? OrderResult.REFUSED : OrderResult.DONE;
		request(VM_A, "decision", 1, OrderKind.LOAD_ADAPTER);
		this.issuers.advance(25_000);
		assertEquals(this.issuers.sentOrders.size(), 1);
		assertTrue(this.issuers.sentOrders.get(0).order().fencingNumber() > firstLeaseOffset());
	}

	@Test
	public void weightReadsAreRateLimitedAcrossFleet() {
		this.issuers.setLiveRouters(VM_B, VM_B);
		for (int number = 0; number < 12; number++) {
			EngineOrder order = new EngineOrder("decision" + number, new TargetId("engine" + (1 + number % 4)),
					OrderKind.LOAD_MODEL, "model" + number, "1");
			this.issuers.deliver((number % 2 == 0) ? VM_A : VM_B, new OrderRequested(order));
		}
		this.issuers.advance(50_000);
		assertEquals(this.issuers.sentOrders.size(), 9);
		assertRateLimitKept(0);
	}

	@DataProvider
	public Object[][] poolLoads() {
		return new Object[][] { { 5, 1 }, { 6, 0 } };
	}

	@Test(dataProvider = "poolLoads")
	public void roleChangesLeaveEnoughCapacity(int loadPerEngine, int expectedOrders) {
		this.issuers.reportResults = false;
		for (int number = 1; number <= 4; number++) {
			this.issuers.loads.put(new TargetId("engine" + number), loadPerEngine);
			request(VM_A, "decision" + number, number, OrderKind.SET_ROLE);
		}
		this.issuers.advance(20_000);
		assertEquals(this.issuers.sentOrders.size(), expectedOrders);
	}

	@Test
	public void roleChangesAreIssuedOneAfterAnother() {
		for (int number = 1; number <= 4; number++) {
			request(VM_A, "decision" + number, number, OrderKind.SET_ROLE);
		}
		this.issuers.advance(10_000);
		assertEquals(this.issuers.sentOrders.size(), 4);
	}

	@Test
	public void randomFaultsNeverSendAnOrderTwice() {
		int sentCount = 0;
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			sentCount += runRandomSteps(new SplittableRandom(seed), seed);
		}
		System.out.println("orders random run: seeds " + SEED_COUNT + ", sent " + sentCount);
		assertTrue(sentCount > SEED_COUNT, "orders sent: " + sentCount);
	}

	private int runRandomSteps(SplittableRandom random, long seed) {
		startIssuers();
		this.issuers.appendFault = () -> (random.nextInt(10) < 8) ? FakeLog.Fault.NONE
				: FakeLog.Fault.values()[random.nextInt(5)];
		this.issuers.orderResult = () -> OrderResult.values()[random.nextInt(4)];
		for (int step = 0; step < 400; step++) {
			VmId vm = random.nextBoolean() ? VM_A : VM_B;
			if (random.nextInt(8) == 0) {
				request(vm, "decision" + step, 1 + random.nextInt(4), OrderKind.values()[random.nextInt(4)]);
			}
			if (random.nextInt(20) == 0) {
				this.issuers.setLiveRouters(vm, random.nextBoolean() ? VM_A : VM_B);
			}
			this.issuers.isLogReadable = random.nextInt(10) > 0;
			this.issuers.setFrozen(vm, random.nextInt(15) == 0);
			this.issuers.advance(50 * random.nextInt(1, 12));
		}
		assertSentOnce(seed);
		assertRateLimitKept(seed);
		return this.issuers.sentOrders.size();
	}

	private void assertSentOnce(long seed) {
		Set<String> decisionIds = new HashSet<>();
		Map<TargetId, Long> lastFencingNumbers = new HashMap<>();
		for (FakeIssuers.SentOrder sent : this.issuers.sentOrders) {
			assertTrue(decisionIds.add(sent.order().order().decisionId()),
					"seed " + seed + " order sent twice: " + sent);
			Long previous = lastFencingNumbers.put(sent.order().target().id(), sent.order().fencingNumber());
			assertTrue(previous == null || previous <= sent.order().fencingNumber(),
					"seed " + seed + " fencing number decreased: " + sent);
		}
	}

	private void assertRateLimitKept(long seed) {
		List<Long> readTimesMillis = this.issuers.sentOrders.stream()
			.filter((sent) -> sent.order().order().kind().readsWeights())
			.map(FakeIssuers.SentOrder::sentAtMillis)
			.toList();
		long toleranceMillis = SETTINGS.leaseMillis();
		for (int index = SETTINGS.maxWeightReads(); index < readTimesMillis.size(); index++) {
			long spanMillis = readTimesMillis.get(index) - readTimesMillis.get(index - SETTINGS.maxWeightReads());
			assertTrue(spanMillis >= SETTINGS.weightIntervalMillis() - toleranceMillis,
					"seed " + seed + " weight reads at " + readTimesMillis);
		}
	}

	private void request(VmId vm, String decisionId, int engine, OrderKind kind) {
		EngineOrder order = new EngineOrder(decisionId, new TargetId("engine" + engine), kind, "subject", "value");
		this.issuers.deliver(vm, new OrderRequested(order));
	}

}
