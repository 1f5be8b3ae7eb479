package org.mustardlane.core.retry;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.route.RequestSemantics;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link RetryRules}.
 */
public class RetryRulesTests {

	@DataProvider
	public Object[][] cases() {
		RequestSemantics once = RequestSemantics.NON_IDEMPOTENT;
		RequestSemantics many = RequestSemantics.IDEMPOTENT;
		return new Object[][] { { once, 1, 1, 1, AttemptResult.BROKEN, NextStep.GIVE_UP },
				{ once, 1, 1, 1, AttemptResult.FAILURE_ANSWERED, NextStep.RELAY },
				{ once, 0, 1, 1, AttemptResult.NOT_EXECUTED, NextStep.RETRY_WITHIN_BUDGET },
				{ once, 0, 1, 1, AttemptResult.NOT_SENT, NextStep.RETRY },
				{ once, 0, 1, 4, AttemptResult.NOT_SENT, NextStep.GIVE_UP },
				{ RequestSemantics.STREAM, 1, 1, 1, AttemptResult.BROKEN, NextStep.GIVE_UP },
				{ many, 1, 2, 1, AttemptResult.BROKEN, NextStep.RETRY_WITHIN_BUDGET },
				{ many, 1, 2, 1, AttemptResult.FAILURE_ANSWERED, NextStep.RETRY_WITHIN_BUDGET },
				{ many, 2, 2, 2, AttemptResult.BROKEN, NextStep.GIVE_UP },
				{ many, 2, 2, 2, AttemptResult.FAILURE_ANSWERED, NextStep.RELAY },
				{ many, 0, 2, 4, AttemptResult.NOT_EXECUTED, NextStep.GIVE_UP } };
	}

	@Test(dataProvider = "cases")
	public void stepFollowsFromWhatMayHaveRun(RequestSemantics semantics, int runs, int maxRuns, int sends,
			AttemptResult result, NextStep expected) {
		assertEquals(RetryRules.after(new CallState(semantics, runs, maxRuns, sends), result), expected);
	}

}
