package org.mustardlane.gateway.knowledge;

import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests the detection of pauses of the process and of its VM.
 */
public class PauseDetectorTests {

	@DataProvider
	public Object[][] clockSteps() {
		return new Object[][] { { 250, 250, false }, { 900, 900, false }, { 3000, 3000, true }, { 250, 4000, true },
				{ 250, -3000, true } };
	}

	@Test(dataProvider = "clockSteps")
	public void pauseIsDetectedOnEitherClock(long monotonicStepMillis, long wallStepMillis, boolean detected) {
		AtomicLong monotonicClock = new AtomicLong(1000);
		AtomicLong wallClock = new AtomicLong(50_000);
		PauseDetector detector = new PauseDetector(monotonicClock::get, wallClock::get);
		monotonicClock.addAndGet(monotonicStepMillis);
		wallClock.addAndGet(wallStepMillis);
		assertEquals(detector.check().isPresent(), detected);
		assertEquals(detector.check().isPresent(), false);
	}

}
