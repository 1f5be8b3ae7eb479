package org.mustardlane.gateway.report;

import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests the limit of log lines per second and the count of suppressed lines.
 */
public class LogRateLimiterTests {

	@Test
	public void suppressedLinesAreCountedAndReportedInTheNextSecond() {
		AtomicLong nowMillis = new AtomicLong();
		LogRateLimiter rateLimiter = new LogRateLimiter(2, nowMillis::get);
		assertEquals(rateLimiter.tryAcquire(LogEvent.CALL_ENDED), 0);
		assertEquals(rateLimiter.tryAcquire(LogEvent.CALL_ENDED), 0);
		for (int line = 0; line < 5; line++) {
			assertEquals(rateLimiter.tryAcquire(LogEvent.CALL_ENDED), LogRateLimiter.SUPPRESSED);
		}
		assertEquals(rateLimiter.tryAcquire(LogEvent.CALL_SENT), 0);
		nowMillis.set(1000);
		assertEquals(rateLimiter.tryAcquire(LogEvent.CALL_ENDED), 5);
		assertEquals(rateLimiter.tryAcquire(LogEvent.CALL_ENDED), 0);
	}

}
