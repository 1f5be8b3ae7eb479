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

	private static final SharedPrefix PREFIX = new SharedPrefix(42, 10_000, List.of());

	private static final TargetEntry FIRST_ENGINE = engine("one");

	private static final TargetEntry SECOND_ENGINE = engine("other");

	private PrefixHolders holders;

	private static TargetEntry engine(String id) {
		return new TargetEntry(new TargetId(id), new PoolId("pool"), "127.0.0.1", 80, new DomainId("north"), 64, "v1",
				TargetState.READY, 0, 0);
	}

	@BeforeMethod
	public void createHolders() {
		this.holders = new PrefixHolders();
	}

	@Test
	public void engineThatRespondedRecentlyNeedsNoCopy() {
		this.holders.recordResponse(PREFIX, FIRST_ENGINE, 0);
		assertEquals(this.holders.findCopySource(PREFIX, FIRST_ENGINE, List.of(FIRST_ENGINE, SECOND_ENGINE), 1000),
				Optional.empty());
	}

	@Test
	public void engineWithoutThePrefixCopiesFromTheLastHolder() {
		this.holders.recordResponse(PREFIX, FIRST_ENGINE, 0);
		assertEquals(this.holders.findCopySource(PREFIX, SECOND_ENGINE, List.of(FIRST_ENGINE, SECOND_ENGINE), 1000),
				Optional.of(FIRST_ENGINE));
	}

	@Test
	public void leavingHolderIsStillACopySource() {
		this.holders.recordResponse(PREFIX, FIRST_ENGINE, 0);
		assertEquals(this.holders.findCopySource(PREFIX, SECOND_ENGINE, List.of(SECOND_ENGINE), 1000),
				Optional.of(FIRST_ENGINE));
	}

	@Test
	public void unreachableHolderIsNoCopySource() {
		this.holders.recordResponse(PREFIX, FIRST_ENGINE, 0);
		this.holders.removeEngine(FIRST_ENGINE.id());
		assertEquals(this.holders.findCopySource(PREFIX, SECOND_ENGINE, List.of(SECOND_ENGINE), 1000),
				Optional.empty());
	}

	@Test
	public void newHomeCopiesFromPreviousHomeUntilItHoldsThePrefix() {
		TargetEntry home = homeOf(List.of(FIRST_ENGINE, SECOND_ENGINE));
		TargetEntry previousHome = home.equals(FIRST_ENGINE) ? SECOND_ENGINE : FIRST_ENGINE;
		this.holders.findCopySource(PREFIX, previousHome, List.of(previousHome), 0);
		assertEquals(this.holders.findCopySource(PREFIX, home, List.of(FIRST_ENGINE, SECOND_ENGINE), 20_000),
				Optional.of(previousHome));
		assertEquals(this.holders.findCopySource(PREFIX, home, List.of(FIRST_ENGINE, SECOND_ENGINE), 40_000),
				Optional.empty());
	}

	@Test
	public void nextHomeCopiesFromLeavingHome() {
		TargetEntry home = homeOf(List.of(FIRST_ENGINE, SECOND_ENGINE));
		TargetEntry nextHome = home.equals(FIRST_ENGINE) ? SECOND_ENGINE : FIRST_ENGINE;
		this.holders.findCopySource(PREFIX, nextHome, List.of(FIRST_ENGINE, SECOND_ENGINE), 0);
		assertEquals(this.holders.findCopySource(PREFIX, nextHome, List.of(nextHome), 20_000), Optional.of(home));
		assertEquals(this.holders.findCopySource(PREFIX, nextHome, List.of(nextHome), 21_000), Optional.empty());
	}

	@Test
	public void shortPrefixIsNotCopied() {
		SharedPrefix shortPrefix = new SharedPrefix(42, 100, List.of());
		this.holders.recordResponse(shortPrefix, FIRST_ENGINE, 0);
		assertEquals(
				this.holders.findCopySource(shortPrefix, SECOND_ENGINE, List.of(FIRST_ENGINE, SECOND_ENGINE), 1000),
				Optional.empty());
	}

	private static TargetEntry homeOf(List<TargetEntry> engines) {
		PlacementPolicy policy = new PrefixPolicy((request, loads) -> Optional.empty());
		return policy
			.choose(new PlacementRequest(engines, Optional.of(PREFIX), new DomainId("north"), 0), new LoadTable())
			.orElseThrow();
	}

}
