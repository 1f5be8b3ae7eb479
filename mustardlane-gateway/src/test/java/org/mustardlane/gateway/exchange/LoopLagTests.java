package org.mustardlane.gateway.exchange;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link LoopLag}.
 */
public class LoopLagTests {

	private static final int INTERVAL_MILLIS = 250;

	private static LoopLag afterQuietStart() {
		LoopLag lag = new LoopLag(INTERVAL_MILLIS, 0);
		for (long millis = 0; millis <= 10_000; millis += INTERVAL_MILLIS) {
			lag.tick(millis);
		}
		return lag;
	}

	@Test
	public void loopLagsWhileTheProcessStarts() {
		assertTrue(new LoopLag(INTERVAL_MILLIS, 0).isLagging(100));
	}

	@Test
	public void loopThatTicksInTimeDoesNotLag() {
		assertFalse(afterQuietStart().isLagging(10_100));
	}

	@Test
	public void loopLagsAsSoonAsATickIsOverdue() {
		assertTrue(afterQuietStart().isLagging(10_400));
	}

	@Test
	public void loopLagsForAWhileAfterALateTick() {
		LoopLag lag = afterQuietStart();
		lag.tick(11_000);
		assertTrue(lag.isLagging(11_050));
		for (long millis = 11_250; millis <= 12_500; millis += INTERVAL_MILLIS) {
			lag.tick(millis);
		}
		assertFalse(lag.isLagging(12_510));
	}

}
