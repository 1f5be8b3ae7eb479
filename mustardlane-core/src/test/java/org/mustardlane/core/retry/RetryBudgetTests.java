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
	public void routersTogetherStayBelowTheLimitOfTheFleet() {
		int routers = 10;
		int allowed = 0;
		for (int router = 0; router < routers; router++) {
			RetryBudget budget = new RetryBudget();
			for (int call = 0; call < 50; call++) {
				budget.firstSend(LIMITS, call);
			}
			while (budget.tryRepeat(LIMITS, routers, 50)) {
				allowed++;
			}
		}
		assertTrue(allowed <= 0.2 * 50 * routers + 100, allowed + " retries");
		assertTrue(allowed >= 0.5 * (0.2 * 50 * routers + 100), allowed + " retries");
	}

	@Test
	public void repeatsAreForgottenWithTheWindow() {
		RetryBudget budget = new RetryBudget();
		while (budget.tryRepeat(LIMITS, 50, 0)) {
			continue;
		}
		assertFalse(budget.tryRepeat(LIMITS, 50, 10_000));
		assertTrue(budget.tryRepeat(LIMITS, 50, 10_001));
	}

	@Test
	public void noLimitMeansNoRepeat() {
		assertEquals(new RetryBudget().tryRepeat(new RetryLimits(0, 0, 1000), 1, 0), false);
	}

}
