package org.mustardlane.core.relay;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.testng.annotations.Test;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.VmId;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link RelayPeers}.
 */
public class RelayPeersTests {

	private static final PoolId POOL = new PoolId("pool");

	private static final VmId FIRST = new VmId("vm-1");

	private static final VmId SECOND = new VmId("vm-2");

	private static final Set<VmId> KNOWN = Set.of(FIRST, SECOND);

	private final RelayPeers peers = new RelayPeers();

	@Test
	public void callsAreSpreadOverAllRouters() {
		Set<VmId> chosen = new TreeSet<>();
		for (double random = 0; random < 1; random += 0.1) {
			chosen.add(this.peers.choose(KNOWN, Set.of(), POOL, random, 0).orElseThrow());
		}
		assertEquals(chosen, KNOWN);
	}

	@Test
	public void routerIsAskedOnceForACall() {
		assertEquals(this.peers.choose(KNOWN, Set.of(FIRST), POOL, 0, 0), Optional.of(SECOND));
		assertEquals(this.peers.choose(KNOWN, KNOWN, POOL, 0, 0), Optional.empty());
	}

	@Test
	public void routerThatHasDeclinedIsNotAskedForAWhile() {
		RelayPeers declined = new RelayPeers();
		declined.recordDeclined(FIRST, POOL, 1000);
		assertEquals(declined.choose(KNOWN, Set.of(), POOL, 0, 2499), Optional.of(SECOND));
		assertEquals(declined.choose(KNOWN, Set.of(), POOL, 0, 2500), Optional.of(FIRST));
	}

	@Test
	public void routerThatDeclinesForOnePoolMayServeAnother() {
		RelayPeers declined = new RelayPeers();
		declined.recordDeclined(FIRST, POOL, 1000);
		assertEquals(declined.choose(KNOWN, Set.of(), new PoolId("other"), 0, 1001), Optional.of(FIRST));
	}

	@Test
	public void routerThatIsNotKnownIsNotAsked() {
		assertEquals(this.peers.choose(Set.of(), Set.of(), POOL, 0, 0), Optional.empty());
	}

}
