package org.mustardlane.gateway.report;

import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests of the bound of lines.
 */
public class RateLimitTests {

	@Test
	public void linesAboveTheBoundAreCountedAndSaidInTheNextSecond() {
		AtomicLong now = new AtomicLong();
		RateLimit limit = new RateLimit(2, now::get);
		assertEquals(limit.leftOutBefore(LogEvent.CALL_ENDED), 0);
		assertEquals(limit.leftOutBefore(LogEvent.CALL_ENDED), 0);
		for (int line = 0; line < 5; line++) {
			assertEquals(limit.leftOutBefore(LogEvent.CALL_ENDED), RateLimit.REFUSED);
		}
		assertEquals(limit.leftOutBefore(LogEvent.CALL_SENT), 0);
		now.set(1000);
		assertEquals(limit.leftOutBefore(LogEvent.CALL_ENDED), 5);
		assertEquals(limit.leftOutBefore(LogEvent.CALL_ENDED), 0);
	}

}
