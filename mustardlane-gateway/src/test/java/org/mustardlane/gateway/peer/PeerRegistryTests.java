package org.mustardlane.gateway.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.router.peer.PeerAddress;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests which routers are contacted and how failures delay the next contact.
 */
public class PeerRegistryTests {

	private static final PeerAddress SEED_ADDRESS = new PeerAddress("10.0.0.9", 1);

	private static final PeerAddress PEER_ADDRESS = new PeerAddress("10.0.0.1", 1);

	private static PeerRegistry createRegistry() {
		return new PeerRegistry(new VmId("self"), List.of(SEED_ADDRESS));
	}

	private static RouterEndpoint endpoint(PeerAddress address) {
		return new RouterEndpoint(address, OptionalInt.empty());
	}

	@Test
	public void seedsAreContactedWhileNoRouterIsKnown() {
		assertEquals(createRegistry().pickPeer(() -> 0, 0, false), Optional.of(SEED_ADDRESS));
	}

	@Test
	public void routerIsNotItsOwnPeer() {
		assertFalse(createRegistry().addOrUpdate(new VmId("self"), endpoint(PEER_ADDRESS)));
	}

	@Test
	public void unresponsiveRouterIsContactedAgainAfterItsBackoff() {
		PeerRegistry registry = createRegistry();
		assertTrue(registry.addOrUpdate(new VmId("one"), endpoint(PEER_ADDRESS)));
		registry.recordFailure(PEER_ADDRESS, 0);
		assertEquals(registry.pickPeer(() -> 0, 500, false), Optional.empty());
		assertEquals(registry.pickPeer(() -> 0, 1000, false), Optional.of(PEER_ADDRESS));
	}

	@Test
	public void partitionedRouterIgnoresTheBackoffOfOthers() {
		PeerRegistry registry = createRegistry();
		registry.addOrUpdate(new VmId("one"), endpoint(PEER_ADDRESS));
		registry.recordFailure(PEER_ADDRESS, 0);
		assertEquals(registry.pickPeer(() -> 0, 500, true), Optional.of(PEER_ADDRESS));
	}

	@Test
	public void unresponsiveRouterKeepsItsShareOfTheLimits() {
		PeerRegistry registry = createRegistry();
		registry.addOrUpdate(new VmId("one"), endpoint(PEER_ADDRESS));
		for (int failure = 0; failure < 10; failure++) {
			registry.recordFailure(PEER_ADDRESS, failure * 1000L);
		}
		assertEquals(registry.position(1).routers(), 2);
	}

	@Test
	public void newAddressOfARestartedRouterReplacesTheOldAddress() {
		PeerRegistry registry = createRegistry();
		registry.addOrUpdate(new VmId("one"), endpoint(PEER_ADDRESS));
		PeerAddress newAddress = new PeerAddress("10.0.0.2", 1);
		assertTrue(registry.addOrUpdate(new VmId("one"), endpoint(newAddress)));
		assertEquals(registry.pickPeer(() -> 0, 0, false), Optional.of(newAddress));
	}

	@Test
	public void routerContactsFewOthersHoweverManyThereAre() {
		PeerRegistry registry = createFleet(100).get(0);
		Random random = new Random(1);
		Set<PeerAddress> contacted = new HashSet<>();
		for (int round = 0; round < 200; round++) {
			registry.pickPeer(random::nextDouble, 0, false).ifPresent(contacted::add);
		}
		assertTrue(contacted.size() <= 4);
	}

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 15, 1L }, { 100, 2L }, { 100, 3L }, { 300, 4L }, { 1000, 5L } };
	}

	// A version of the routes must be in force within the time that each router may be
	// out of touch with the log.
	@Test(dataProvider = "fleets")
	public void updateReachesAllRoutersInRoundsThatGrowWithTheLogarithm(int routers, long seed) {
		List<PeerRegistry> fleet = createFleet(routers);
		Random random = new Random(seed);
		boolean[] informed = new boolean[routers];
		informed[0] = true;
		int rounds = 0;
		while (!isAllTrue(informed)) {
			rounds++;
			boolean[] before = informed.clone();
			for (int index = 0; index < routers; index++) {
				int peer = fleet.get(index).pickPeer(random::nextDouble, 0, false).orElseThrow().port() - 1;
				informed[index] |= before[peer];
				informed[peer] |= before[index];
			}
		}
		int limit = 4 + (int) Math.ceil(Math.log(routers) / Math.log(2));
		assertTrue(rounds <= limit, rounds + " rounds for " + routers + " routers");
	}

	// Routers that are no one's neighbour learn the news in their own next rounds.
	@Test(dataProvider = "fleets")
	public void pushedNewsReachNearlyAllRoutersInFewHops(int routers, long seed) {
		List<PeerRegistry> fleet = createFleet(routers);
		Set<Integer> informed = new HashSet<>(Set.of((int) seed % routers));
		Set<Integer> latest = informed;
		int hops = 0;
		while (!latest.isEmpty()) {
			hops++;
			Set<Integer> next = new HashSet<>();
			latest
				.forEach((index) -> fleet.get(index).neighbours(0).forEach((address) -> next.add(address.port() - 1)));
			next.removeAll(informed);
			informed = new HashSet<>(informed);
			informed.addAll(next);
			latest = next;
		}
		assertTrue(hops <= 12, hops + " hops for " + routers + " routers");
		assertTrue(informed.size() >= 0.9 * routers, informed.size() + " of " + routers + " routers");
	}

	private static boolean isAllTrue(boolean[] values) {
		for (boolean value : values) {
			if (!value) {
				return false;
			}
		}
		return true;
	}

	private static List<PeerRegistry> createFleet(int routers) {
		List<PeerRegistry> fleet = new ArrayList<>();
		for (int index = 0; index < routers; index++) {
			PeerRegistry registry = new PeerRegistry(new VmId("vm-" + index), List.of());
			for (int other = 0; other < routers; other++) {
				registry.addOrUpdate(new VmId("vm-" + other), endpoint(new PeerAddress("10.0.0.1", other + 1)));
			}
			fleet.add(registry);
		}
		return fleet;
	}

}
