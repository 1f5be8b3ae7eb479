package org.mustardlane.gateway.report;

import org.testng.annotations.Test;

import org.mustardlane.core.model.common.PoolId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link GatewayMetrics}.
 */
public class GatewayMetricsTests {

	@Test
	public void callsBeforeTheMetricsAreOpenAreCounted() {
		GatewayMetrics metrics = new GatewayMetrics();
		metrics.recordCall(CallOutcome.ANSWERED, new PoolId("desk"), 20);
		assertEquals(metrics.scrape(), "");
		metrics.open();
		metrics.recordCall(CallOutcome.ANSWERED, new PoolId("desk"), 30);
		String text = metrics.scrape();
		assertTrue(text.contains("mustardlane_calls_seconds_count{outcome=\"ANSWERED\",pool=\"desk\"} 2"), text);
	}

}
