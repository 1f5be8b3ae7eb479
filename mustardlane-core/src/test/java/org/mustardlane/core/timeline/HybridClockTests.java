package org.mustardlane.core.timeline;

import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link HybridClock}.
 */
public class HybridClockTests {

	private static final int MESSAGES = 100_000;

	@Test
	public void followsLocalClock() {
		HybridClock clock = new HybridClock();
		assertEquals(clock.next(1_000), HybridClock.timestamp(1_000, 0));
		assertEquals(clock.next(1_000), HybridClock.timestamp(1_000, 1));
		assertEquals(clock.next(1_001), HybridClock.timestamp(1_001, 0));
	}

	@Test
	public void increasesWhileLocalClockGoesBack() {
		HybridClock clock = new HybridClock();
		long before = clock.next(5_000);
		assertTrue(clock.next(1) > before);
	}

	@Test
	public void carriesCounterOverflowIntoMillis() {
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
		long farAhead = HybridClock.timestamp(1_000 + HybridClock.MAX_AHEAD_MILLIS + 1, 0);
		assertEquals(HybridClock.millisOf(clock.observe(farAhead, 1_000)), 1_000);
	}

	@Test
	public void ordersCausesBeforeEffectsWithSkewedClocks() {
		Random random = new Random(42);
		HybridClock[] clocks = { new HybridClock(), new HybridClock(), new HybridClock() };
		long[] skewsMillis = { 0, -400, 250 };
		long[] lastTimestamps = new long[clocks.length];
		for (int step = 0; step < MESSAGES; step++) {
			long nowMillis = 1_000_000 + step / 50;
			int sender = random.nextInt(clocks.length);
			int receiver = random.nextInt(clocks.length);
			long sent = clocks[sender].next(nowMillis + skewsMillis[sender]);
			assertTrue(sent > lastTimestamps[sender]);
			lastTimestamps[sender] = sent;
			long received = clocks[receiver].observe(sent, nowMillis + skewsMillis[receiver]);
			assertTrue(received > sent && received > lastTimestamps[receiver]);
			lastTimestamps[receiver] = received;
			assertTrue(HybridClock.millisOf(received) <= nowMillis + 251, "timestamp is ahead of all local clocks");
		}
	}

}
