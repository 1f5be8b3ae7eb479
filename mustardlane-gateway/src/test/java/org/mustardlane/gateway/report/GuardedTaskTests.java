package org.mustardlane.gateway.report;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests of tasks that must go on after a failed run.
 */
public class GuardedTaskTests {

	// Guards against an error that ends a periodic task (review/1).
	@Test
	public void errorEndsOneRunOnly() {
		int[] runs = { 0 };
		DecisionLog log = new DecisionLog(new LogRateLimiter(100, () -> 0), () -> 0);
		GuardedTask task = new GuardedTask("test", () -> {
			runs[0]++;
			throw new StackOverflowError();
		}, log);
		task.run();
		task.run();
		assertEquals(runs[0], 2);
	}

}
