package org.mustardlane.gateway.peer;

import java.util.List;
import java.util.Optional;

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

	@Test
	public void seedsAreContactedWhileNoRouterIsKnown() {
		assertEquals(createRegistry().pickPeer(() -> 0, 0, false), Optional.of(SEED_ADDRESS));
	}

	@Test
	public void routerIsNotItsOwnPeer() {
		assertFalse(createRegistry().addOrUpdate(new VmId("self"), PEER_ADDRESS));
	}

	@Test
	public void unresponsiveRouterIsContactedAgainAfterItsBackoff() {
		PeerRegistry registry = createRegistry();
		assertTrue(registry.addOrUpdate(new VmId("one"), PEER_ADDRESS));
		registry.recordFailure(PEER_ADDRESS, 0);
		assertEquals(registry.pickPeer(() -> 0, 500, false), Optional.empty());
		assertEquals(registry.pickPeer(() -> 0, 1000, false), Optional.of(PEER_ADDRESS));
	}

	@Test
	public void partitionedRouterIgnoresTheBackoffOfOthers() {
		PeerRegistry registry = createRegistry();
		registry.addOrUpdate(new VmId("one"), PEER_ADDRESS);
		registry.recordFailure(PEER_ADDRESS, 0);
		assertEquals(registry.pickPeer(() -> 0, 500, true), Optional.of(PEER_ADDRESS));
	}

	@Test
	public void unresponsiveRouterKeepsItsShareOfTheLimits() {
		PeerRegistry registry = createRegistry();
		registry.addOrUpdate(new VmId("one"), PEER_ADDRESS);
		for (int failure = 0; failure < 10; failure++) {
			registry.recordFailure(PEER_ADDRESS, failure * 1000L);
		}
		assertEquals(registry.routerCount(), 2);
	}

	@Test
	public void newAddressOfARestartedRouterReplacesTheOldAddress() {
		PeerRegistry registry = createRegistry();
		registry.addOrUpdate(new VmId("one"), PEER_ADDRESS);
		PeerAddress newAddress = new PeerAddress("10.0.0.2", 1);
		assertTrue(registry.addOrUpdate(new VmId("one"), newAddress));
		assertEquals(registry.pickPeer(() -> 0, 0, false), Optional.of(newAddress));
	}

}
