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
 * Tests of {@link DomainReachability}.
 */
public class DomainReachabilityTests {

	private static final DomainId OWN_DOMAIN = new DomainId("near");

	private static final DomainId OTHER_DOMAIN = new DomainId("far");

	private static final TargetId FIRST_TARGET = new TargetId("one");

	private static final TargetId SECOND_TARGET = new TargetId("other");

	@Test
	public void failuresOfOneTargetDoNotPauseItsDomain() {
		DomainReachability reachability = new DomainReachability();
		reachability.recordConnectFailure(OTHER_DOMAIN, FIRST_TARGET, 0);
		reachability.recordConnectFailure(OTHER_DOMAIN, FIRST_TARGET, 10);
		assertFalse(reachability.isPaused(OTHER_DOMAIN, 11));
	}

	@Test
	public void failuresOfTwoTargetsPauseTheirDomainForLongerEachTime() {
		DomainReachability reachability = new DomainReachability();
		reachability.recordConnectFailure(OTHER_DOMAIN, FIRST_TARGET, 0);
		reachability.recordConnectFailure(OTHER_DOMAIN, SECOND_TARGET, 0);
		assertTrue(reachability.isPaused(OTHER_DOMAIN, 499));
		assertFalse(reachability.isPaused(OTHER_DOMAIN, 500));
		reachability.recordConnectFailure(OTHER_DOMAIN, FIRST_TARGET, 500);
		assertTrue(reachability.isPaused(OTHER_DOMAIN, 1499));
	}

	@Test
	public void responseEndsThePause() {
		DomainReachability reachability = new DomainReachability();
		reachability.recordConnectFailure(OTHER_DOMAIN, FIRST_TARGET, 0);
		reachability.recordConnectFailure(OTHER_DOMAIN, SECOND_TARGET, 0);
		reachability.recordReachable(OTHER_DOMAIN);
		assertFalse(reachability.isPaused(OTHER_DOMAIN, 1));
	}

	@Test
	public void callsStayInOwnDomainWhileOtherDomainIsUnreachable() {
		LoadTable loads = new LoadTable();
		loads.domainReachability().recordConnectFailure(OTHER_DOMAIN, FIRST_TARGET, 0);
		loads.domainReachability().recordConnectFailure(OTHER_DOMAIN, SECOND_TARGET, 0);
		TargetEntry ownTarget = target("near-1", OWN_DOMAIN);
		List<TargetEntry> candidates = List.of(ownTarget, target("far-1", OTHER_DOMAIN), target("far-2", OTHER_DOMAIN),
				target("far-3", OTHER_DOMAIN));
		PlacementPolicy policy = new PrefixPolicy(new LeastLoadedPolicy(() -> 0.5));
		for (long prefixHash = 0; prefixHash < 50; prefixHash++) {
			Optional<SharedPrefix> prefix = Optional.of(new SharedPrefix(prefixHash, 1000, List.of()));
			assertEquals(policy.choose(new PlacementRequest(candidates, prefix, OWN_DOMAIN, 100), loads).orElseThrow(),
					ownTarget);
		}
	}

	private static TargetEntry target(String id, DomainId domain) {
		return new TargetEntry(new TargetId(id), new PoolId("pool"), "127.0.0.1", 80, domain, 8, "v1",
				TargetState.READY, 0, 0);
	}

}
