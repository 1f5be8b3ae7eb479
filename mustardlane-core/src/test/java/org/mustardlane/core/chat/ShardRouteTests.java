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
 * Tests of {@link ShardRoute}.
 */
public class ShardRouteTests {

	private static final PoolId POOL = new PoolId("model");

	@Test
	public void namesEachShardOfThePoolOnce() {
		CatalogueSnapshot catalogue = catalogue(8);
		List<ShardId> route = ShardRoute.route(catalogue, POOL, 42);
		assertEquals(route.size(), 3);
		assertEquals(Map.copyOf(catalogue.shards()).keySet(), Set.copyOf(route));
		assertEquals(ShardRoute.route(catalogue, new PoolId("other"), 42), List.of());
	}

	@Test
	public void homeIsTheFirstShardOfTheRoute() {
		ShardRoute route = new ShardRoute(catalogue(8));
		for (long chat = 1; chat < 100; chat++) {
			List<ShardId> order = route.route(POOL, chat * 0x9E3779B97F4A7C15L);
			assertTrue(route.isHome(order.get(0), chat * 0x9E3779B97F4A7C15L));
			assertFalse(route.isHome(order.get(1), chat * 0x9E3779B97F4A7C15L));
		}
	}

	@Test
	public void addedTargetMovesFewHomes() {
		ShardRoute before = new ShardRoute(catalogue(8));
		ShardRoute after = new ShardRoute(catalogue(9));
		int moved = 0;
		for (int chat = 0; chat < 9000; chat++) {
			long hash = chat * 0x9E3779B97F4A7C15L;
			moved += before.route(POOL, hash).get(0).equals(after.route(POOL, hash).get(0)) ? 0 : 1;
		}
		assertTrue(moved < 1200, "moved " + moved);
	}

	private static CatalogueSnapshot catalogue(int targets) {
		Map<TargetId, Target> all = new HashMap<>();
		for (int i = 0; i < targets; i++) {
			TargetId id = new TargetId("engine-" + i);
			DomainId domain = new DomainId("d" + i % 3);
			all.put(id, new Target(id, POOL, TargetKind.ENGINE, domain, "127.0.0.1", 1, 8, false));
		}
		return new CatalogueSnapshot(1, Map.of(), Map.of(), all);
	}

}
