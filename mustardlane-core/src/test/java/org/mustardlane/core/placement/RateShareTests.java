package org.mustardlane.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of sharing the limit of a target among routers that do not exchange messages.
 */
public class RateShareTests {

	private static final TargetEntry TARGET = new TargetEntry(new TargetId("t-1"), new PoolId("pool"), "127.0.0.1", 80,
			new DomainId("north"), 4, "v1", TargetState.READY, 0, 1);

	private static final int WINDOW_MILLIS = 4000;

	private static final int RUN_MILLIS = 60_000;

	private static final int STEP_MILLIS = 20;

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 8, 1.0, 1L }, { 15, 2.2, 2L }, { 15, 5.2, 3L }, { 15, 50.0, 4L }, { 95, 1.0, 5L },
				{ 95, 3.0, 6L }, { 360, 2.0, 7L }, { 360, 0.0, 8L } };
	}

	private static List<RateShare> createFleet(int routers, double perSecond, Random random) {
		List<RateShare> fleet = new ArrayList<>();
		for (int rank = 0; rank < routers; rank++) {
			// Routers learn the limit at different times.
			fleet.add(new RateShare(new FleetPosition(rank, routers), perSecond, random.nextInt(1000)));
		}
		return fleet;
	}

	private static List<Integer> send(List<RateShare> fleet, Random random, double useProbability, int fromMillis) {
		List<Integer> sentAtMillis = new ArrayList<>();
		for (int nowMillis = fromMillis; nowMillis < RUN_MILLIS; nowMillis += STEP_MILLIS) {
			for (RateShare share : fleet) {
				if (random.nextDouble() < useProbability && share.hasPermit(nowMillis)) {
					share.usePermit(nowMillis);
					sentAtMillis.add(nowMillis);
				}
			}
		}
		return sentAtMillis;
	}

	private static long mostInAWindow(List<Integer> sentAtMillis) {
		return sentAtMillis.stream()
			.mapToLong((start) -> sentAtMillis.stream()
				.filter((time) -> time >= start && time < start + WINDOW_MILLIS)
				.count())
			.max()
			.orElse(0);
	}

	private static double allowed(double perSecond) {
		return 1.5 * perSecond * WINDOW_MILLIS / 1000 + 5;
	}

	@Test(dataProvider = "fleets")
	public void allRoutersTogetherStayWithinTheLimitAndUseMostOfIt(int routers, double perSecond, long seed) {
		Random random = new Random(seed);
		List<Integer> sentAtMillis = send(createFleet(routers, perSecond, random), random, 1, 1000);
		assertTrue(mostInAWindow(sentAtMillis) <= allowed(perSecond));
		assertTrue(sentAtMillis.size() >= 0.8 * perSecond * (RUN_MILLIS - 1000) / 1000 - 1);
	}

	@Test(dataProvider = "fleets")
	public void burstAfterAnIdleTimeStaysWithinTheLimit(int routers, double perSecond, long seed) {
		Random random = new Random(seed);
		List<Integer> sentAtMillis = send(createFleet(routers, perSecond, random), random, 0.02, 40_000);
		assertTrue(mostInAWindow(sentAtMillis) <= allowed(perSecond));
	}

	@Test
	public void limitThatChangesWithEachStatementGrantsNoAdditionalPermits() {
		Random random = new Random(1);
		List<RateShare> fleet = createFleet(15, 3, random);
		List<Integer> sentAtMillis = new ArrayList<>();
		for (int nowMillis = 1000; nowMillis < RUN_MILLIS; nowMillis += STEP_MILLIS) {
			for (int rank = 0; rank < fleet.size(); rank++) {
				RateShare share = fleet.get(rank);
				share.setRate(new FleetPosition(rank, 15), 2 + 2 * random.nextDouble(), nowMillis);
				if (share.hasPermit(nowMillis)) {
					share.usePermit(nowMillis);
					sentAtMillis.add(nowMillis);
				}
			}
		}
		assertTrue(mostInAWindow(sentAtMillis) <= allowed(3));
	}

	@Test
	public void reportsThatArriveLateGrantNoAdditionalPermits() {
		Random random = new Random(1);
		FleetPosition position = new FleetPosition(0, 10);
		RateShare share = new RateShare(position, 5, 0);
		int sent = 0;
		for (int nowMillis = 0; nowMillis < RUN_MILLIS; nowMillis += STEP_MILLIS) {
			share.setRate(position, 5, nowMillis - random.nextInt(1500));
			if (share.hasPermit(nowMillis)) {
				share.usePermit(nowMillis);
				sent++;
			}
		}
		assertEquals(sent, 5 * RUN_MILLIS / 1000 / 10, 1);
	}

	@Test
	public void timeUntilAPermitIsExact() {
		RateShare share = new RateShare(new FleetPosition(0, 10), 5, 0);
		long waitMillis = share.millisUntilPermit(0);
		assertFalse(share.hasPermit(waitMillis - 1));
		assertTrue(share.hasPermit(waitMillis));
		assertEquals(share.millisUntilPermit(waitMillis), 0);
		share.usePermit(waitMillis);
		assertTrue(share.millisUntilPermit(waitMillis) > 0);
	}

	@Test
	public void targetWithoutALimitAdmitsAllRequestsAgain() {
		TargetLoad load = new TargetLoad();
		FleetPosition position = new FleetPosition(0, 15);
		assertTrue(load.updateLimit(new TargetLimit(OptionalDouble.of(1), 1000), position));
		assertTrue(load.millisUntilAdmitted(TARGET, 1001) > 0);
		assertFalse(load.updateLimit(new TargetLimit(OptionalDouble.empty(), 900), position));
		assertTrue(load.updateLimit(new TargetLimit(OptionalDouble.empty(), 2000), position));
		IntStream.range(0, 100).forEach((request) -> load.requestStarted(2001));
		assertEquals(load.millisUntilAdmitted(TARGET, 2001), 0);
	}

}
