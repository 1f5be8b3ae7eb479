package org.mustardlane.core.route;

import java.util.List;
import java.util.OptionalLong;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.model.common.PoolId;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link ShutdownRules}.
 */
public class ShutdownRulesTests {

	@DataProvider
	public Object[][] calls() {
		return new Object[][] { { RequestSemantics.STREAM, 15_000, 0, 7000, true },
				{ RequestSemantics.STREAM, 15_000, 0, 4000, false },
				{ RequestSemantics.RESUMABLE_STREAM, 15_000, 0, 4000, false },
				{ RequestSemantics.STREAM, 3000, 0, 4000, true },
				{ RequestSemantics.IDEMPOTENT, 15_000, 0, 4000, true },
				{ RequestSemantics.NON_IDEMPOTENT, 15_000, 0, 500, false },
				{ RequestSemantics.NON_IDEMPOTENT, 300, 0, 500, true },
				{ RequestSemantics.NON_IDEMPOTENT, 15_000, 3000, 4000, false },
				{ RequestSemantics.IDEMPOTENT, 3000, 3000, 4000, true },
				{ RequestSemantics.STREAM, 15_000, 3000, 14_000, false },
				{ RequestSemantics.STREAM, 15_000, 3000, 16_000, true } };
	}

	@Test(dataProvider = "calls")
	public void callIsAcceptedIfItProbablyEndsBeforeTheProcess(RequestSemantics semantics, long timeoutMillis,
			long elapsedMillis, long remainingMillis, boolean accepted) {
		Route route = new Route("r", "h", "/", semantics, timeoutMillis, 100, 0, 0,
				List.of(new WeightedPool(new PoolId("pool"), 1)), 1, false);
		ShutdownWindow shutdown = new ShutdownWindow(100, 100 + elapsedMillis + remainingMillis);
		assertEquals(ShutdownRules.accepts(route, OptionalLong.empty(), shutdown, 100 + elapsedMillis), accepted);
		assertEquals(ShutdownRules.accepts(route, OptionalLong.of(timeoutMillis), shutdown, 100 + elapsedMillis),
				accepted);
	}

}
