package org.mustardlane.gateway.knowledge;

import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests of noticing that a process or its VM stood still.
 */
public class PauseDetectorTests {

	@DataProvider
	public Object[][] steps() {
		return new Object[][] { { 250, 250, false }, { 900, 900, false }, { 3000, 3000, true }, { 250, 4000, true },
				{ 250, -3000, true } };
	}

	@Test(dataProvider = "steps")
	public void standstillShowsOnOneOfTheClocks(long steadyMillis, long wallMillis, boolean noticed) {
		AtomicLong steady = new AtomicLong(1000);
		AtomicLong wall = new AtomicLong(50_000);
		PauseDetector detector = new PauseDetector(steady::get, wall::get);
		steady.addAndGet(steadyMillis);
		wall.addAndGet(wallMillis);
		assertEquals(detector.check().isPresent(), noticed);
		assertEquals(detector.check().isPresent(), false);
	}

}
