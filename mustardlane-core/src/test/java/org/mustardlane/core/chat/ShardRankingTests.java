package org.mustardlane.core.chat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.testng.annotations.Test;

import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link ShardRanking}.
 */
public class ShardRankingTests {

	private static final PoolId POOL = new PoolId("model");

	@Test
	public void ranksEachShardOfThePoolOnce() {
		CatalogueSnapshot catalogue = catalogue(8);
		List<ShardId> rankedShards = ShardRanking.rankShards(catalogue, POOL, 42);
		assertEquals(rankedShards.size(), 3);
		assertEquals(Map.copyOf(catalogue.shards()).keySet(), Set.copyOf(rankedShards));
		assertEquals(ShardRanking.rankShards(catalogue, new PoolId("other"), 42), List.of());
	}

	@Test
	public void homeIsTheFirstRankedShard() {
		ShardRanking route = new ShardRanking(catalogue(8));
		for (long chat = 1; chat < 100; chat++) {
			List<ShardId> rankedShards = route.rankShards(POOL, chat * 0x9E3779B97F4A7C15L);
			assertTrue(route.isHomeShard(rankedShards.get(0), chat * 0x9E3779B97F4A7C15L));
			assertFalse(route.isHomeShard(rankedShards.get(1), chat * 0x9E3779B97F4A7C15L));
		}
	}

	@Test
	public void addedTargetMovesFewHomes() {
		ShardRanking before = new ShardRanking(catalogue(8));
		ShardRanking after = new ShardRanking(catalogue(9));
		int movedHomes = 0;
		for (int chat = 0; chat < 9000; chat++) {
			long hash = chat * 0x9E3779B97F4A7C15L;
			movedHomes += before.rankShards(POOL, hash).get(0).equals(after.rankShards(POOL, hash).get(0)) ? 0 : 1;
		}
		assertTrue(movedHomes < 1200, "moved " + movedHomes);
	}

	private static CatalogueSnapshot catalogue(int targetCount) {
		Map<TargetId, Target> targetsById = new HashMap<>();
		for (int i = 0; i < targetCount; i++) {
			TargetId id = new TargetId("engine-" + i);
			DomainId domain = new DomainId("d" + i % 3);
			targetsById.put(id, new Target(id, POOL, TargetKind.ENGINE, domain, "127.0.0.1", 1, 8, false));
		}
		return new CatalogueSnapshot(1, Map.of(), Map.of(), targetsById);
	}

}
