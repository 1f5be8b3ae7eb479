package org.mustardlane.core.placement;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link DomainReach}.
 */
public class DomainReachTests {

	private static final DomainId NEAR = new DomainId("near");

	private static final DomainId FAR = new DomainId("far");

	private static final TargetId ONE = new TargetId("one");

	private static final TargetId OTHER = new TargetId("other");

	@Test
	public void oneTargetThatFailsIsNoCut() {
		DomainReach reach = new DomainReach();
		reach.failed(FAR, ONE, 0);
		reach.failed(FAR, ONE, 10);
		assertFalse(reach.isPaused(FAR, 11));
	}

	@Test
	public void twoTargetsThatFailPauseTheDomainForLongerEachTime() {
		DomainReach reach = new DomainReach();
		reach.failed(FAR, ONE, 0);
		reach.failed(FAR, OTHER, 0);
		assertTrue(reach.isPaused(FAR, 499));
		assertFalse(reach.isPaused(FAR, 500));
		reach.failed(FAR, ONE, 500);
		assertTrue(reach.isPaused(FAR, 1499));
	}

	@Test
	public void answerEndsThePause() {
		DomainReach reach = new DomainReach();
		reach.failed(FAR, ONE, 0);
		reach.failed(FAR, OTHER, 0);
		reach.reached(FAR);
		assertFalse(reach.isPaused(FAR, 1));
	}

	@Test
	public void callsStayInTheOwnDomainWhileTheOtherIsCutOff() {
		LoadTable loads = new LoadTable();
		loads.domains().failed(FAR, ONE, 0);
		loads.domains().failed(FAR, OTHER, 0);
		TargetEntry near = target("near-1", NEAR);
		List<TargetEntry> all = List.of(near, target("far-1", FAR), target("far-2", FAR), target("far-3", FAR));
		PlacementPolicy policy = new PrefixPolicy(new LeastLoadedPolicy(() -> 0.5));
		for (long key = 0; key < 50; key++) {
			Optional<SharedPrefix> prefix = Optional.of(new SharedPrefix(key, 1000));
			assertEquals(policy.choose(new PlacementRequest(all, prefix, NEAR, 100), loads).orElseThrow(), near);
		}
	}

	private static TargetEntry target(String id, DomainId domain) {
		return new TargetEntry(new TargetId(id), new PoolId("pool"), "127.0.0.1", 80, domain, 8, TargetState.READY, 0);
	}

}
