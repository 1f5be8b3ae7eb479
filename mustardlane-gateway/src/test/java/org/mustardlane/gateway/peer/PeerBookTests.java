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
 * Tests of which routers are talked to.
 */
public class PeerBookTests {

	private static final PeerAddress SEED = new PeerAddress("10.0.0.9", 1);

	private static final PeerAddress ONE = new PeerAddress("10.0.0.1", 1);

	private static PeerBook book() {
		return new PeerBook(new VmId("self"), List.of(SEED));
	}

	@Test
	public void seedsAreTriedWhileNoRouterIsKnown() {
		assertEquals(book().pick(() -> 0, 0, false), Optional.of(SEED));
	}

	@Test
	public void routerItselfIsNoPeer() {
		assertFalse(book().found(new VmId("self"), ONE));
	}

	@Test
	public void silentRouterIsLeftAloneForAWhileAndThenTriedAgain() {
		PeerBook known = book();
		assertTrue(known.found(new VmId("one"), ONE));
		known.failed(ONE, 0);
		assertEquals(known.pick(() -> 0, 500, false), Optional.empty());
		assertEquals(known.pick(() -> 0, 1000, false), Optional.of(ONE));
	}

	@Test
	public void routerThatWasCutOffTriesOthersAgainAtOnce() {
		PeerBook known = book();
		known.found(new VmId("one"), ONE);
		known.failed(ONE, 0);
		assertEquals(known.pick(() -> 0, 500, true), Optional.of(ONE));
	}

	@Test
	public void routerThatDoesNotAnswerKeepsItsShareOfTheLimits() {
		PeerBook known = book();
		known.found(new VmId("one"), ONE);
		for (int failure = 0; failure < 10; failure++) {
			known.failed(ONE, failure * 1000L);
		}
		assertEquals(known.sharers(), 2);
	}

	@Test
	public void restartAtAnotherAddressReplacesTheFormerOne() {
		PeerBook known = book();
		known.found(new VmId("one"), ONE);
		PeerAddress moved = new PeerAddress("10.0.0.2", 1);
		assertTrue(known.found(new VmId("one"), moved));
		assertEquals(known.pick(() -> 0, 0, false), Optional.of(moved));
	}

}
