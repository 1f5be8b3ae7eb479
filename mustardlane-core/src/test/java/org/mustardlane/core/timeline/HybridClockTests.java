package org.mustardlane.core.timeline;

import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link HybridClock}.
 */
public class HybridClockTests {

	private static final int STEPS = 100_000;

	@Test
	public void followsTheClockOfTheVm() {
		HybridClock clock = new HybridClock();
		assertEquals(clock.next(1_000), HybridClock.timestamp(1_000, 0));
		assertEquals(clock.next(1_000), HybridClock.timestamp(1_000, 1));
		assertEquals(clock.next(1_001), HybridClock.timestamp(1_001, 0));
	}

	@Test
	public void growsWhileTheClockOfTheVmGoesBack() {
		HybridClock clock = new HybridClock();
		long before = clock.next(5_000);
		assertTrue(clock.next(1) > before);
	}

	@Test
	public void carriesOverflowOfTheCounter() {
		HybridClock clock = new HybridClock();
		long last = 0;
		for (int step = 0; step < 70_000; step++) {
			long next = clock.next(7);
			assertTrue(next > last);
			last = next;
		}
		assertEquals(HybridClock.millisOf(last), 8);
	}

	@Test
	public void ignoresTimestampFarAhead() {
		HybridClock clock = new HybridClock();
		long broken = HybridClock.timestamp(1_000 + HybridClock.MAX_AHEAD_MILLIS + 1, 0);
		assertEquals(HybridClock.millisOf(clock.observe(broken, 1_000)), 1_000);
	}

	@Test
	public void sortsCausesBeforeEffectsOverProcessesWithSkewedClocks() {
		Random random = new Random(42);
		HybridClock[] clocks = { new HybridClock(), new HybridClock(), new HybridClock() };
		long[] skews = { 0, -400, 250 };
		long[] last = new long[clocks.length];
		for (int step = 0; step < STEPS; step++) {
			long nowMillis = 1_000_000 + step / 50;
			int sender = random.nextInt(clocks.length);
			int receiver = random.nextInt(clocks.length);
			long sent = clocks[sender].next(nowMillis + skews[sender]);
			assertTrue(sent > last[sender]);
			last[sender] = sent;
			long received = clocks[receiver].observe(sent, nowMillis + skews[receiver]);
			assertTrue(received > sent && received > last[receiver]);
			last[receiver] = received;
			assertTrue(HybridClock.millisOf(received) <= nowMillis + 251, "runs away from the clocks");
		}
	}

}
