package org.mustardlane.gateway.knowledge;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.RateLimit;
import org.mustardlane.gateway.wire.KnowledgeDecoder;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of what a router believes of targets around a time without the log.
 */
public class KnowledgeTests {

	private static final PoolId POOL = new PoolId("pool");

	private final AtomicLong now = new AtomicLong();

	private Knowledge own;

	private Knowledge peer;

	@BeforeMethod
	public void listTargets() {
		this.now.set(0);
		this.own = knowledge();
		this.peer = knowledge();
		for (Knowledge each : List.of(this.own, this.peer)) {
			each.takeRoutes(entry("routes", 0), "log");
			each.listTargets(List.of(entry("t-1", 10), entry("t-2", 11)), 12);
		}
	}

	private Knowledge knowledge() {
		return new Knowledge(new AnyRecord(), new DecisionLog(new RateLimit(100, this.now::get), this.now::get),
				this.now::get, () -> {
				});
	}

	private static KeyedRecord entry(String key, long offset) {
		return new KeyedRecord(key, offset, Optional.of(new byte[0]));
	}

	private static KeyedRecord removal(String key, long offset) {
		return new KeyedRecord(key, offset, Optional.empty());
	}

	private List<String> ready(Knowledge knowledge) {
		return knowledge.targets().ready(POOL).stream().map((target) -> target.id().value()).sorted().toList();
	}

	@Test
	public void targetThatWentWhileTheLogWasLostIsGoneOnceAPeerSaysSo() {
		this.own.setLogLost(true);
		this.peer.takeTargets(List.of(removal("t-1", 20), entry("t-2", 30)));
		this.own.setLogLost(false);
		this.own.listTargets(List.of(entry("t-2", 30)), 31);
		assertEquals(ready(this.own), List.of("t-1", "t-2"));
		assertTrue(this.own.needsTargets());
		this.own.takeRelayedTargets(this.peer.targetRecordsAfter(this.own.askAfterOffset()));
		assertEquals(ready(this.own), List.of("t-2"));
	}

	@Test
	public void missingTargetIsGoneAfterAWhileWithoutPeers() {
		this.own.setLogLost(true);
		this.own.setLogLost(false);
		this.own.listTargets(List.of(entry("t-2", 30)), 31);
		this.now.set(2499);
		this.own.review();
		assertEquals(ready(this.own), List.of("t-1", "t-2"));
		this.now.set(2500);
		this.own.review();
		assertEquals(ready(this.own), List.of("t-2"));
		assertFalse(this.own.needsTargets());
	}

	@Test
	public void peerThatCanNotTellItselfTellsNothing() {
		this.peer.setLogLost(true);
		this.peer.setLogLost(false);
		assertEquals(this.peer.targetRecordsAfter(0), List.of());
	}

	@Test
	public void routerWithTheLogAsksForNothingItHas() {
		assertFalse(this.own.needsTargets());
		assertEquals(this.own.askAfterOffset(), 11L);
	}

	private static final class AnyRecord implements KnowledgeDecoder {

		@Override
		public Optional<RouteTable> routes(String key, byte[] body) {
			return Optional.of(new RouteTable(1, List.of(), List.of(), Map.of(), false,
					new RequestLimits(16_384, 100_000, 3000, 15_000)));
		}

		@Override
		public TargetEntry target(String key, byte[] body) {
			return new TargetEntry(new TargetId(key), POOL, "127.0.0.1", 1, new DomainId("north"), 4, TargetState.READY,
					0);
		}

	}

}
