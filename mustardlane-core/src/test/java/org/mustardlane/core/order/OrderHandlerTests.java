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

	private static final int SEEDS = Integer.getInteger("mustardlane.seeds", 200);

	private static final VmId A = new VmId("a");

	private static final VmId B = new VmId("b");

	private FakeIssuers issuers;

	@BeforeMethod
	public void startIssuers() {
		this.issuers = new FakeIssuers(SETTINGS, A, B);
		this.issuers.view(A, A);
	}

	@DataProvider
	public Object[][] appendFaults() {
		return new Object[][] { { FakeLog.Fault.NONE }, { FakeLog.Fault.LOST_ANSWER } };
	}

	@Test(dataProvider = "appendFaults")
	public void decisionGoesOutOnceWithNumberOfLease(FakeLog.Fault fault) {
		this.issuers.fault = () -> fault;
		request(A, "decision", 1, OrderKind.LOAD_ADAPTER);
		request(B, "decision", 1, OrderKind.LOAD_ADAPTER);
		this.issuers.pass(40_000);
		assertEquals(this.issuers.sent.size(), 1);
		assertEquals(this.issuers.sent.get(0).order().fencingNumber(), leaseOffset());
	}

	private long leaseOffset() {
		return this.issuers.log.records(StreamName.ORDERS)
			.stream()
			.filter((record) -> record.type().equals("order-lease.v1"))
			.findFirst()
			.orElseThrow()
			.offset();
	}

	private long records(String type) {
		return this.issuers.log.records(StreamName.ORDERS)
			.stream()
			.filter((record) -> record.type().equals(type))
			.count();
	}

	@Test
	public void nothingGoesOutBeforeIssueIsReadBack() {
		this.issuers.pass(3_000);
		request(A, "decision", 1, OrderKind.LOAD_ADAPTER);
		this.issuers.readable = false;
		this.issuers.pass(3_000);
		assertEquals(this.issuers.sent.size(), 0);
	}

	@Test
	public void frozenHolderSendsNothingAfterItsLease() {
		this.issuers.pass(3_000);
		request(A, "decision", 3, OrderKind.LOAD_ADAPTER);
		this.issuers.pass(50);
		this.issuers.readable = false;
		this.issuers.pass(50);
		assertEquals(records("order-issue.v1"), 1);
		this.issuers.freeze(A, true);
		this.issuers.readable = true;
		this.issuers.view(B, B);
		this.issuers.pass(20_000);
		request(B, "later", 3, OrderKind.LOAD_MODEL);
		this.issuers.pass(15_000);
		this.issuers.freeze(A, false);
		this.issuers.pass(5_000);
		assertTrue(this.issuers.sent.stream().allMatch((sent) -> sent.order().fencingNumber() != leaseOffset()));
		assertEquals(this.issuers.sent.size(), 2);
		assertSentOnce(0);
	}

	@Test
	public void targetThatChecksNothingWaitsOutTheMargin() {
		request(A, "checking", 1, OrderKind.LOAD_ADAPTER);
		request(A, "other", 3, OrderKind.LOAD_ADAPTER);
		this.issuers.pass(5_000);
		assertEquals(this.issuers.sent.get(0).order().order().decisionId(), "checking");
		long waitMillis = this.issuers.sent.get(1).atMillis() - this.issuers.sent.get(0).atMillis();
		assertTrue(waitMillis >= SETTINGS.clockMarginMillis() - 200, "waited " + waitMillis);
	}

	@Test
	public void issueUnderAnotherLeaseCountsForNothing() {
		EngineOrder order = new EngineOrder("decision", new TargetId("engine1"), OrderKind.LOAD_ADAPTER, "subject",
				"value");
		this.issuers.log.write(StreamName.ORDERS,
				List.of(OrderCodec.encode(new OrderRecord.Decision(order, Long.MAX_VALUE)),
						OrderCodec.encode(new OrderRecord.Issue("decision", 77, "pool"))),
				this.issuers.nowMillis);
		this.issuers.pass(5_000);
		assertEquals(this.issuers.sent.size(), 1);
	}

	@Test
	public void laterDecisionReplacesWaitingOne() {
		request(A, "early", 1, OrderKind.LOAD_ADAPTER);
		request(A, "late", 1, OrderKind.LOAD_ADAPTER);
		this.issuers.pass(5_000);
		assertEquals(this.issuers.sent.size(), 1);
		assertEquals(this.issuers.sent.get(0).order().order().decisionId(), "late");
	}

	@Test
	public void refusedOrderGoesOutUnderNewNumber() {
		this.issuers.result = () -> (this.issuers.nowMillis < 1_005_000) ? OrderResult.REFUSED : OrderResult.DONE;
		request(A, "decision", 1, OrderKind.LOAD_ADAPTER);
		this.issuers.pass(25_000);
		assertEquals(this.issuers.sent.size(), 1);
		assertTrue(this.issuers.sent.get(0).order().fencingNumber() > leaseOffset());
	}

	@Test
	public void rateOfWeightReadsHoldsForFleet() {
		this.issuers.view(B, B);
		for (int number = 0; number < 12; number++) {
			EngineOrder order = new EngineOrder("decision" + number, new TargetId("engine" + (1 + number % 4)),
					OrderKind.LOAD_MODEL, "model" + number, "1");
			this.issuers.deliver((number % 2 == 0) ? A : B, new OrderRequested(order));
		}
		this.issuers.pass(50_000);
		assertEquals(this.issuers.sent.size(), 9);
		assertRateKept(0);
	}

	@DataProvider
	public Object[][] poolLoads() {
		return new Object[][] { { 5, 1 }, { 6, 0 } };
	}

	@Test(dataProvider = "poolLoads")
	public void roleChangeLeavesCapacityForLoad(int loadPerEngine, int expected) {
		this.issuers.answering = false;
		for (int number = 1; number <= 4; number++) {
			this.issuers.loads.put(new TargetId("engine" + number), loadPerEngine);
			request(A, "decision" + number, number, OrderKind.SET_ROLE);
		}
		this.issuers.pass(20_000);
		assertEquals(this.issuers.sent.size(), expected);
	}

	@Test
	public void roleChangesFollowOneAnother() {
		for (int number = 1; number <= 4; number++) {
			request(A, "decision" + number, number, OrderKind.SET_ROLE);
		}
		this.issuers.pass(10_000);
		assertEquals(this.issuers.sent.size(), 4);
	}

	@Test
	public void randomFaultsNeverDoubleAnOrder() {
		int sent = 0;
		for (long seed = 1; seed <= SEEDS; seed++) {
			sent += runRandomly(new SplittableRandom(seed), seed);
		}
		System.out.println("orders random run: seeds " + SEEDS + ", sent " + sent);
		assertTrue(sent > SEEDS, "sent " + sent);
	}

	private int runRandomly(SplittableRandom random, long seed) {
		startIssuers();
		this.issuers.fault = () -> (random.nextInt(10) < 8) ? FakeLog.Fault.NONE
				: FakeLog.Fault.values()[random.nextInt(5)];
		this.issuers.result = () -> OrderResult.values()[random.nextInt(4)];
		for (int step = 0; step < 400; step++) {
			VmId vm = random.nextBoolean() ? A : B;
			if (random.nextInt(8) == 0) {
				request(vm, "decision" + step, 1 + random.nextInt(4), OrderKind.values()[random.nextInt(4)]);
			}
			if (random.nextInt(20) == 0) {
				this.issuers.view(vm, random.nextBoolean() ? A : B);
			}
			this.issuers.readable = random.nextInt(10) > 0;
			this.issuers.freeze(vm, random.nextInt(15) == 0);
			this.issuers.pass(50 * random.nextInt(1, 12));
		}
		assertSentOnce(seed);
		assertRateKept(seed);
		return this.issuers.sent.size();
	}

	private void assertSentOnce(long seed) {
		Set<String> decisions = new HashSet<>();
		Map<TargetId, Long> numbers = new HashMap<>();
		for (FakeIssuers.Sent sent : this.issuers.sent) {
			assertTrue(decisions.add(sent.order().order().decisionId()), "seed " + seed + " twice " + sent);
			Long last = numbers.put(sent.order().target().id(), sent.order().fencingNumber());
			assertTrue(last == null || last <= sent.order().fencingNumber(), "seed " + seed + " older " + sent);
		}
	}

	private void assertRateKept(long seed) {
		List<Long> reads = this.issuers.sent.stream()
			.filter((sent) -> sent.order().order().kind().readsWeights())
			.map(FakeIssuers.Sent::atMillis)
			.toList();
		long slackMillis = SETTINGS.leaseMillis();
		for (int index = SETTINGS.weightReads(); index < reads.size(); index++) {
			long spanMillis = reads.get(index) - reads.get(index - SETTINGS.weightReads());
			assertTrue(spanMillis >= SETTINGS.weightIntervalMillis() - slackMillis, "seed " + seed + " " + reads);
		}
	}

	private void request(VmId vm, String decisionId, int engine, OrderKind kind) {
		EngineOrder order = new EngineOrder(decisionId, new TargetId("engine" + engine), kind, "subject", "value");
		this.issuers.deliver(vm, new OrderRequested(order));
	}

}
