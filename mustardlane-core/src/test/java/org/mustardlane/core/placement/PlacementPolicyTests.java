package org.mustardlane.core.placement;

import java.util.HashSet;
import java.util.List;
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

	private static final DomainId NORTH = new DomainId("north");

	private static final long NOW = 100_000;

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);

	private final PlacementPolicy leastLoaded = new LeastLoadedPolicy(this.random::nextDouble);

	private final PlacementPolicy prefix = new PrefixPolicy(this.leastLoaded);

	private static TargetEntry target(String id, String domain) {
		return new TargetEntry(new TargetId(id), new PoolId("pool"), "127.0.0.1", 80, new DomainId(domain), 8,
				TargetState.READY, 0);
	}

	private static List<TargetEntry> engines(int count) {
		return IntStream.range(0, count).mapToObj((index) -> target("engine-" + index, "north")).toList();
	}

	private static Optional<SharedPrefix> shared(long hash) {
		return Optional.of(new SharedPrefix(hash, 10_000));
	}

	private static PlacementRequest request(List<TargetEntry> candidates, Optional<SharedPrefix> prefix) {
		return new PlacementRequest(candidates, prefix, NORTH, NOW);
	}

	@Test
	public void noCandidateMeansNoTarget() {
		assertTrue(this.prefix.choose(request(List.of(), shared(1)), new LoadTable()).isEmpty());
	}

	@Test
	public void routersAgreeOnTheHomeOfAPrefix() {
		List<TargetEntry> engines = engines(8);
		for (long key = 0; key < 100; key++) {
			PlacementRequest request = request(engines, shared(key));
			assertEquals(this.prefix.choose(request, new LoadTable()), this.prefix.choose(request, new LoadTable()));
		}
	}

	@Test
	public void targetThatLeavesMovesOnlyItsOwnPrefixes() {
		List<TargetEntry> all = engines(8);
		List<TargetEntry> fewer = all.subList(0, 7);
		for (long key = 0; key < 200; key++) {
			TargetEntry before = this.prefix.choose(request(all, shared(key)), new LoadTable()).orElseThrow();
			TargetEntry after = this.prefix.choose(request(fewer, shared(key)), new LoadTable()).orElseThrow();
			if (fewer.contains(before)) {
				assertEquals(after, before);
			}
		}
	}

	@Test
	public void hotPrefixOverflowsBeforeItsHomePassesTheBound() {
		List<TargetEntry> engines = engines(8);
		LoadTable loads = new LoadTable();
		Set<TargetId> used = new HashSet<>();
		for (int call = 0; call < 80; call++) {
			TargetEntry chosen = this.prefix.choose(request(engines, shared(5)), loads).orElseThrow();
			loads.of(chosen.id()).started();
			used.add(chosen.id());
			double mean = (call + 1) / 8.0;
			assertTrue(loads.of(chosen.id()).inFlight() <= 2 * mean + 3, "call " + call);
		}
		assertTrue(used.size() > 1);
	}

	@Test
	public void statedLoadOfOtherRoutersCounts() {
		TargetEntry busy = target("busy", "north");
		TargetEntry idle = target("idle", "south");
		LoadTable loads = new LoadTable();
		loads.of(busy.id()).stated(new LoadSample(6, 2, 8, 100, NOW));
		assertEquals(this.leastLoaded.choose(request(List.of(busy, idle), Optional.empty()), loads).orElseThrow(),
				idle);
	}

	@Test
	public void ownFailureDomainBreaksTies() {
		TargetEntry near = target("near", "north");
		TargetEntry far = target("far", "south");
		for (int draw = 0; draw < 50; draw++) {
			assertEquals(this.leastLoaded.choose(request(List.of(far, near), Optional.empty()), new LoadTable())
				.orElseThrow(), near);
		}
	}

	@Test
	public void pausedTargetIsLeftAloneUnlessItIsTheOnlyOne() {
		TargetEntry broken = target("broken", "north");
		TargetEntry sound = target("sound", "south");
		LoadTable loads = new LoadTable();
		loads.of(broken.id()).failed(NOW);
		assertEquals(this.leastLoaded.choose(request(List.of(broken, sound), Optional.empty()), loads).orElseThrow(),
				sound);
		assertEquals(this.leastLoaded.choose(request(List.of(broken), Optional.empty()), loads).orElseThrow(), broken);
	}

	@Test
	public void targetThatFailsFarMoreOftenThanOthersIsTriedLast() {
		List<TargetEntry> engines = engines(4);
		LoadTable loads = new LoadTable();
		for (int answer = 0; answer < 20; answer++) {
			loads.of(engines.get(0).id()).answered(true);
		}
		for (long key = 0; key < 50; key++) {
			assertNotEquals(this.prefix.choose(request(engines, shared(key)), loads).orElseThrow(), engines.get(0));
		}
	}

	@Test
	public void targetsThatAllFailAreAllUsed() {
		List<TargetEntry> engines = engines(4);
		LoadTable loads = new LoadTable();
		engines.forEach((engine) -> loads.of(engine.id()).failed(NOW));
		Set<TargetEntry> used = new HashSet<>();
		for (long key = 0; key < 50; key++) {
			used.add(this.prefix.choose(request(engines, shared(key)), loads).orElseThrow());
		}
		assertEquals(used.size(), 4);
	}

}
