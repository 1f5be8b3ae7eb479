package org.mustardlane.core.retry;

import org.testng.annotations.Test;

import org.mustardlane.core.route.RequestSemantics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link ConnectionReusePolicy}.
 */
public class ConnectionReusePolicyTests {

	/**
	 * Targets that lose idle connections do so after 300 ms at the earliest.
	 */
	private static final int EARLIEST_LOSS_MILLIS = 300;

	@Test
	public void requestThatMustRunOnceUsesOnlyConnectionsThatTargetsStillHold() {
		ConnectionReusePolicy policy = new ConnectionReusePolicy();
		assertTrue(policy.maxIdleMillis(RequestSemantics.NON_IDEMPOTENT, 0) < EARLIEST_LOSS_MILLIS);
	}

	@Test
	public void streamsAvoidOlderConnectionsAfterOneWasDropped() {
		ConnectionReusePolicy policy = new ConnectionReusePolicy();
		int before = policy.maxIdleMillis(RequestSemantics.STREAM, 1000);
		policy.recordDroppedConnection(1000);
		assertTrue(policy.maxIdleMillis(RequestSemantics.STREAM, 1001) < EARLIEST_LOSS_MILLIS);
		assertEquals(policy.maxIdleMillis(RequestSemantics.STREAM, 31_000), before);
	}

	@Test
	public void repeatableRequestsUseConnectionsLongest() {
		ConnectionReusePolicy policy = new ConnectionReusePolicy();
		policy.recordDroppedConnection(0);
		int limitMillis = policy.maxIdleMillis(RequestSemantics.IDEMPOTENT, 1);
		assertEquals(limitMillis, ConnectionReusePolicy.longestIdleMillis());
		assertEquals(policy.maxIdleMillis(RequestSemantics.RESUMABLE_STREAM, 1), limitMillis);
	}

}
