package org.mustardlane.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link LeastLoadedPolicy} and {@link PrefixPolicy}.
 */
public class PlacementPolicyTests {

	private static final DomainId OWN_DOMAIN = new DomainId("north");

	private static final long NOW_MILLIS = 100_000;

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);

	private final PlacementPolicy leastLoadedPolicy = new LeastLoadedPolicy(this.random::nextDouble);

	private final PlacementPolicy prefixPolicy = new PrefixPolicy(this.leastLoadedPolicy);

	private static TargetEntry target(String id, String domain) {
		return new TargetEntry(new TargetId(id), new PoolId("pool"), "127.0.0.1", 80, new DomainId(domain), 8, "v1",
				TargetState.READY, 0, 0);
	}

	private static List<TargetEntry> engines(int count) {
		return IntStream.range(0, count).mapToObj((index) -> target("engine-" + index, "north")).toList();
	}

	private static Optional<SharedPrefix> sharedPrefix(long hash) {
		return Optional.of(new SharedPrefix(hash, 10_000, List.of()));
	}

	private static PlacementRequest request(List<TargetEntry> candidates, Optional<SharedPrefix> prefix) {
		return new PlacementRequest(candidates, prefix, OWN_DOMAIN, NOW_MILLIS);
	}

	@Test
	public void choosesNoTargetWithoutCandidates() {
		assertTrue(this.prefixPolicy.choose(request(List.of(), sharedPrefix(1)), new LoadTable()).isEmpty());
	}

	@Test
	public void routersChooseTheSameHomeForAPrefix() {
		List<TargetEntry> engines = engines(8);
		for (long prefixHash = 0; prefixHash < 100; prefixHash++) {
			PlacementRequest request = request(engines, sharedPrefix(prefixHash));
			assertEquals(this.prefixPolicy.choose(request, new LoadTable()),
					this.prefixPolicy.choose(request, new LoadTable()));
		}
	}

	// Guards against many routers that send all calls with one prefix to its home before
	// they know its load (LIMIT, the deadly day with seed 102).
	@Test
	public void routersThatKnowNoLoadsDoNotOverloadTheHomeOfAPrefixTogether() {
		List<TargetEntry> engines = engines(8);
		List<LoadTable> routers = IntStream.range(0, 15).mapToObj((index) -> new LoadTable()).toList();
		Map<TargetId, Integer> sent = new HashMap<>();
		for (int call = 0; call < 60; call++) {
			LoadTable loads = routers.get(call % routers.size());
			TargetId chosen = this.prefixPolicy.choose(request(engines, sharedPrefix(5)), loads).orElseThrow().id();
			loads.of(chosen).requestStarted(NOW_MILLIS);
			sent.merge(chosen, 1, Integer::sum);
		}
		double mean = 60.0 / engines.size();
		sent.values().forEach((count) -> assertTrue(count <= 2 * mean + 3, sent.toString()));
	}

	@Test
	public void targetsThatNeverReportTheirLoadKeepTheirPrefixes() {
		List<TargetEntry> engines = engines(8);
		LoadTable loads = new LoadTable();
		engines.forEach((engine) -> loads.of(engine.id()).recordResponse(false));
		TargetId home = this.prefixPolicy.choose(request(engines, sharedPrefix(5)), loads).orElseThrow().id();
		loads.of(home).requestStarted(NOW_MILLIS);
		assertEquals(this.prefixPolicy.choose(request(engines, sharedPrefix(5)), loads).orElseThrow().id(), home);
	}

	@Test
	public void removedTargetMovesOnlyItsOwnPrefixes() {
		List<TargetEntry> allEngines = engines(8);
		List<TargetEntry> remainingEngines = allEngines.subList(0, 7);
		for (long prefixHash = 0; prefixHash < 200; prefixHash++) {
			TargetEntry before = this.prefixPolicy
				.choose(request(allEngines, sharedPrefix(prefixHash)), new LoadTable())
				.orElseThrow();
			TargetEntry after = this.prefixPolicy
				.choose(request(remainingEngines, sharedPrefix(prefixHash)), new LoadTable())
				.orElseThrow();
			if (remainingEngines.contains(before)) {
				assertEquals(after, before);
			}
		}
	}

	@Test
	public void hotPrefixOverflowsBeforeItsHomePassesTheBound() {
		List<TargetEntry> engines = engines(8);
		LoadTable loads = new LoadTable();
		Set<TargetId> usedTargets = new HashSet<>();
		for (int callNumber = 0; callNumber < 80; callNumber++) {
			TargetEntry chosen = this.prefixPolicy.choose(request(engines, sharedPrefix(5)), loads).orElseThrow();
			loads.of(chosen.id()).requestStarted(NOW_MILLIS);
			usedTargets.add(chosen.id());
			double meanLoad = (callNumber + 1) / 8.0;
			assertTrue(loads.of(chosen.id()).inFlight() <= 2 * meanLoad + 3, "call " + callNumber);
		}
		assertTrue(usedTargets.size() > 1);
	}

	@Test
	public void loadFromOtherRoutersIsTakenIntoAccount() {
		TargetEntry busyTarget = target("busy", "north");
		TargetEntry idleTarget = target("idle", "south");
		LoadTable loads = new LoadTable();
		loads.of(busyTarget.id()).updateSample(new LoadSample(6, 2, 8, 100, NOW_MILLIS));
		assertEquals(this.leastLoadedPolicy.choose(request(List.of(busyTarget, idleTarget), Optional.empty()), loads)
			.orElseThrow(), idleTarget);
	}

	@Test
	public void ownFailureDomainIsPreferredAtEqualLoad() {
		TargetEntry ownDomainTarget = target("near", "north");
		TargetEntry otherDomainTarget = target("far", "south");
		for (int attempt = 0; attempt < 50; attempt++) {
			assertEquals(this.leastLoadedPolicy
				.choose(request(List.of(otherDomainTarget, ownDomainTarget), Optional.empty()), new LoadTable())
				.orElseThrow(), ownDomainTarget);
		}
	}

	@Test
	public void pausedTargetIsUsedOnlyWithoutAlternative() {
		TargetEntry failedTarget = target("broken", "north");
		TargetEntry healthyTarget = target("sound", "south");
		LoadTable loads = new LoadTable();
		loads.of(failedTarget.id()).recordFailure(NOW_MILLIS);
		assertEquals(
				this.leastLoadedPolicy.choose(request(List.of(failedTarget, healthyTarget), Optional.empty()), loads)
					.orElseThrow(),
				healthyTarget);
		assertEquals(
				this.leastLoadedPolicy.choose(request(List.of(failedTarget), Optional.empty()), loads).orElseThrow(),
				failedTarget);
	}

	@Test
	public void targetThatFailsFarMoreOftenThanOthersIsNotChosen() {
		List<TargetEntry> engines = engines(4);
		LoadTable loads = new LoadTable();
		for (int response = 0; response < 20; response++) {
			loads.of(engines.get(0).id()).recordResponse(true);
		}
		for (long prefixHash = 0; prefixHash < 50; prefixHash++) {
			assertNotEquals(this.prefixPolicy.choose(request(engines, sharedPrefix(prefixHash)), loads).orElseThrow(),
					engines.get(0));
		}
	}

	@Test
	public void allTargetsAreUsedWhenAllArePaused() {
		List<TargetEntry> engines = engines(4);
		LoadTable loads = new LoadTable();
		engines.forEach((engine) -> loads.of(engine.id()).recordFailure(NOW_MILLIS));
		Set<TargetEntry> usedTargets = new HashSet<>();
		for (long prefixHash = 0; prefixHash < 50; prefixHash++) {
			usedTargets.add(this.prefixPolicy.choose(request(engines, sharedPrefix(prefixHash)), loads).orElseThrow());
		}
		assertEquals(usedTargets.size(), 4);
	}

}
