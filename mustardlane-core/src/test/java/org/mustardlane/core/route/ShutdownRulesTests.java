package org.mustardlane.core.route;

import java.util.List;

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
		return new Object[][] { { RequestSemantics.STREAM, 15_000, 7000, true },
				{ RequestSemantics.STREAM, 15_000, 4000, false },
				{ RequestSemantics.RESUMABLE_STREAM, 15_000, 4000, false },
				{ RequestSemantics.STREAM, 3000, 4000, true }, { RequestSemantics.IDEMPOTENT, 15_000, 4000, true },
				{ RequestSemantics.NON_IDEMPOTENT, 15_000, 500, false },
				{ RequestSemantics.NON_IDEMPOTENT, 300, 500, true } };
	}

	@Test(dataProvider = "calls")
	public void callIsAcceptedIfItProbablyEndsBeforeTheProcess(RequestSemantics semantics, long timeoutMillis,
			long remainingMillis, boolean accepted) {
		Route route = new Route("r", "h", "/", semantics, timeoutMillis, 100, 0, 0,
				List.of(new WeightedPool(new PoolId("pool"), 1)), 1, false);
		assertEquals(ShutdownRules.accepts(route, remainingMillis), accepted);
	}

}
