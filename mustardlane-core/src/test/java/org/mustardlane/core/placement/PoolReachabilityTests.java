package org.mustardlane.core.placement;

import org.testng.annotations.Test;

import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link PoolReachability}.
 */
public class PoolReachabilityTests {

	private static final int READY_TARGETS = 3;

	private static final TargetId FIRST = new TargetId("t-1");

	private static final TargetId SECOND = new TargetId("t-2");

	private static PoolReachability unreachable() {
		PoolReachability pool = new PoolReachability();
		pool.recordConnectFailure(FIRST, READY_TARGETS, 1000);
		pool.recordConnectFailure(SECOND, READY_TARGETS, 1000);
		return pool;
	}

	@Test
	public void poolIsReachedAtFirst() {
		PoolReachability pool = new PoolReachability();
		assertFalse(pool.isUnreachable(1100));
		assertFalse(pool.isDoubtful());
	}

	@Test
	public void oneCrashedTargetDoesNotMakeItsPoolUnreachable() {
		PoolReachability pool = new PoolReachability();
		pool.recordConnectFailure(FIRST, READY_TARGETS, 1000);
		pool.recordConnectFailure(FIRST, READY_TARGETS, 1100);
		assertFalse(pool.isUnreachable(1100));
		assertTrue(pool.isDoubtful());
	}

	@Test
	public void onlyTargetOfAPoolMakesItUnreachable() {
		PoolReachability pool = new PoolReachability();
		pool.recordConnectFailure(FIRST, 1, 1000);
		assertTrue(pool.isUnreachable(1100));
	}

	@Test
	public void bytesOfAnyTargetShowThatThePoolIsReached() {
		PoolReachability pool = unreachable();
		assertTrue(pool.isUnreachable(1100));
		pool.recordReceived(1001);
		assertFalse(pool.isUnreachable(1100));
		assertFalse(pool.isDoubtful());
	}

	@Test
	public void bytesBetweenTwoFailuresShowThatThereIsAPath() {
		PoolReachability pool = new PoolReachability();
		pool.recordConnectFailure(FIRST, READY_TARGETS, 1000);
		pool.recordReceived(1001);
		pool.recordConnectFailure(SECOND, READY_TARGETS, 1002);
		assertFalse(pool.isUnreachable(1100));
	}

	@Test
	public void silenceOfATargetMeansNothingWhileOthersSend() {
		PoolReachability pool = new PoolReachability();
		pool.recordReceived(1200);
		pool.recordSilence(1000);
		assertFalse(pool.isDoubtful());
	}

	@Test
	public void silenceOfAllTargetsMakesConnectionsDoubtfulButNotThePoolUnreachable() {
		PoolReachability pool = new PoolReachability();
		pool.recordReceived(900);
		pool.recordSilence(1000);
		assertTrue(pool.isDoubtful());
		assertFalse(pool.isUnreachable(1100));
	}

	@Test
	public void poolIsTriedAgainAfterAWhileWithoutAnyTrial() {
		PoolReachability pool = unreachable();
		assertTrue(pool.isUnreachable(3999));
		assertFalse(pool.isUnreachable(4000));
	}

	@Test
	public void oneCallInEachIntervalTestsAnUnreachablePool() {
		PoolReachability pool = unreachable();
		assertFalse(pool.tryStartTrial(1499));
		assertTrue(pool.tryStartTrial(1500));
		assertFalse(pool.tryStartTrial(1501));
		assertTrue(pool.tryStartTrial(2000));
	}

}
