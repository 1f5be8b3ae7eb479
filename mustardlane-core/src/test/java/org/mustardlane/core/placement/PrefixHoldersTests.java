package org.mustardlane.core.placement;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link PrefixHolders}.
 */
public class PrefixHoldersTests {

	private static final SharedPrefix PREFIX = new SharedPrefix(42, 10_000);

	private static final TargetEntry ONE = engine("one");

	private static final TargetEntry OTHER = engine("other");

	private PrefixHolders holders;

	private static TargetEntry engine(String id) {
		return new TargetEntry(new TargetId(id), new PoolId("pool"), "127.0.0.1", 80, new DomainId("north"), 64,
				TargetState.READY, 0);
	}

	@BeforeMethod
	public void create() {
		this.holders = new PrefixHolders();
	}

	@Test
	public void engineThatAnsweredLatelyHoldsThePrefix() {
		this.holders.answered(PREFIX, ONE, 0);
		assertEquals(this.holders.source(PREFIX, ONE, List.of(ONE, OTHER), 1000), Optional.empty());
	}

	@Test
	public void engineWithoutThePrefixCopiesItFromTheLastHolder() {
		this.holders.answered(PREFIX, ONE, 0);
		assertEquals(this.holders.source(PREFIX, OTHER, List.of(ONE, OTHER), 1000), Optional.of(ONE));
	}

	@Test
	public void holderThatLeavesIsStillASource() {
		this.holders.answered(PREFIX, ONE, 0);
		assertEquals(this.holders.source(PREFIX, OTHER, List.of(OTHER), 1000), Optional.of(ONE));
	}

	@Test
	public void lostHolderIsNoSource() {
		this.holders.answered(PREFIX, ONE, 0);
		this.holders.lost(ONE.id());
		assertEquals(this.holders.source(PREFIX, OTHER, List.of(OTHER), 1000), Optional.empty());
	}

	@Test
	public void youngHomeCopiesFromTheHomeBeforeIt() {
		TargetEntry home = homeOf(List.of(ONE, OTHER));
		TargetEntry former = home.equals(ONE) ? OTHER : ONE;
		this.holders.source(PREFIX, former, List.of(former), 0);
		assertEquals(this.holders.source(PREFIX, home, List.of(ONE, OTHER), 20_000), Optional.of(former));
		assertEquals(this.holders.source(PREFIX, home, List.of(ONE, OTHER), 40_000), Optional.empty());
	}

	@Test
	public void newHomeCopiesFromAHomeThatLeaves() {
		TargetEntry home = homeOf(List.of(ONE, OTHER));
		TargetEntry next = home.equals(ONE) ? OTHER : ONE;
		this.holders.source(PREFIX, next, List.of(ONE, OTHER), 0);
		assertEquals(this.holders.source(PREFIX, next, List.of(next), 20_000), Optional.of(home));
		assertEquals(this.holders.source(PREFIX, next, List.of(next), 21_000), Optional.empty());
	}

	@Test
	public void shortPrefixIsReadAgain() {
		SharedPrefix brief = new SharedPrefix(42, 100);
		this.holders.answered(brief, ONE, 0);
		assertEquals(this.holders.source(brief, OTHER, List.of(ONE, OTHER), 1000), Optional.empty());
	}

	private static TargetEntry homeOf(List<TargetEntry> engines) {
		PlacementPolicy policy = new PrefixPolicy((request, loads) -> Optional.empty());
		return policy
			.choose(new PlacementRequest(engines, Optional.of(PREFIX), new DomainId("north"), 0), new LoadTable())
			.orElseThrow();
	}

}
