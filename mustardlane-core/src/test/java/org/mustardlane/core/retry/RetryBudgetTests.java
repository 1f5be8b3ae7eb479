package org.mustardlane.core.retry;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link RetryBudget}.
 */
public class RetryBudgetTests {

	private static final RetryLimits LIMITS = new RetryLimits(0.2, 100, 10_000);

	@Test
	public void allRoutersTogetherStayWithinTheFleetLimit() {
		int routers = 10;
		int allowedRetries = 0;
		for (int router = 0; router < routers; router++) {
			RetryBudget budget = new RetryBudget();
			for (int call = 0; call < 50; call++) {
				budget.recordFirstSend(LIMITS, call);
			}
			while (budget.tryAcquireRetry(LIMITS, routers, 50)) {
				allowedRetries++;
			}
		}
		assertTrue(allowedRetries <= 0.2 * 50 * routers + 100, allowedRetries + " retries");
		assertTrue(allowedRetries >= 0.5 * (0.2 * 50 * routers + 100), allowedRetries + " retries");
	}

	@Test
	public void retriesExpireAtTheEndOfTheWindow() {
		RetryBudget budget = new RetryBudget();
		while (budget.tryAcquireRetry(LIMITS, 50, 0)) {
			continue;
		}
		assertFalse(budget.tryAcquireRetry(LIMITS, 50, 10_000));
		assertTrue(budget.tryAcquireRetry(LIMITS, 50, 10_001));
	}

	@Test
	public void zeroLimitsAllowNoRetry() {
		assertEquals(new RetryBudget().tryAcquireRetry(new RetryLimits(0, 0, 1000), 1, 0), false);
	}

}
