package org.mustardlane.core.route;

import java.util.OptionalLong;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link StartupRules}.
 */
public class StartupRulesTests {

	@DataProvider
	public Object[][] deferredCalls() {
		return new Object[][] { { 0, OptionalLong.empty(), 1000 }, { 0, OptionalLong.of(900), 300 },
				{ 900, OptionalLong.of(15_000), 1000 }, { 900, OptionalLong.of(150), 950 } };
	}

	@Test(dataProvider = "deferredCalls")
	public void callIsDeferredForAtMostAThirdOfItsTimeoutAndTheLoadingTime(long arrivedAtMillis,
			OptionalLong callTimeoutMillis, long deadlineMillis) {
		assertEquals(StartupRules.deferralDeadlineMillis(0, arrivedAtMillis, callTimeoutMillis), deadlineMillis);
	}

	@DataProvider
	public Object[][] rejectedCalls() {
		return new Object[][] { { 0, OptionalLong.empty(), 250 }, { 300, OptionalLong.of(900), 150 },
				{ 300, OptionalLong.of(15_000), 250 }, { 500, OptionalLong.of(400), 0 } };
	}

	@Test(dataProvider = "rejectedCalls")
	public void retryDelayFitsTheRemainingTimeOfTheCaller(long waitedMillis, OptionalLong callTimeoutMillis,
			long retryAfterMillis) {
		assertEquals(StartupRules.retryAfterMillis(waitedMillis, callTimeoutMillis), retryAfterMillis);
	}

}
