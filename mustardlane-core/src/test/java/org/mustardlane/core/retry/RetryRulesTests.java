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
	public Object[][] failedAttempts() {
		RequestSemantics nonIdempotent = RequestSemantics.NON_IDEMPOTENT;
		RequestSemantics idempotent = RequestSemantics.IDEMPOTENT;
		return new Object[][] { { nonIdempotent, 1, 1, 1, AttemptFailure.BROKEN, NextStep.GIVE_UP },
				{ nonIdempotent, 1, 1, 1, AttemptFailure.FAILURE_ANSWERED, NextStep.RELAY },
				{ nonIdempotent, 0, 1, 1, AttemptFailure.NOT_EXECUTED, NextStep.RETRY_WITHIN_BUDGET },
				{ nonIdempotent, 0, 1, 1, AttemptFailure.NOT_SENT, NextStep.RETRY },
				{ nonIdempotent, 0, 1, 4, AttemptFailure.NOT_SENT, NextStep.GIVE_UP },
				{ RequestSemantics.STREAM, 1, 1, 1, AttemptFailure.BROKEN, NextStep.GIVE_UP },
				{ idempotent, 1, 2, 1, AttemptFailure.BROKEN, NextStep.RETRY_WITHIN_BUDGET },
				{ idempotent, 1, 2, 1, AttemptFailure.FAILURE_ANSWERED, NextStep.RETRY_WITHIN_BUDGET },
				{ idempotent, 2, 2, 2, AttemptFailure.BROKEN, NextStep.GIVE_UP },
				{ idempotent, 2, 2, 2, AttemptFailure.FAILURE_ANSWERED, NextStep.RELAY },
				{ idempotent, 0, 2, 4, AttemptFailure.NOT_EXECUTED, NextStep.GIVE_UP } };
	}

	@Test(dataProvider = "failedAttempts")
	public void nextStepDependsOnResultAndPossibleExecutions(RequestSemantics semantics, int runs, int maxRuns,
			int sends, AttemptFailure failure, NextStep expected) {
		assertEquals(RetryRules.nextStep(new CallState(semantics, runs, maxRuns, sends), failure), expected);
	}

}
