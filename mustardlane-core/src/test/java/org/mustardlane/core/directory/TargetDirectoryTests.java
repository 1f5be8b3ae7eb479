package org.mustardlane.core.directory;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link TargetDirectory}.
 */
public class TargetDirectoryTests {

	private static final int GRACE_MILLIS = 2500;

	private static final PoolId POOL = new PoolId("pool");

	private final TargetDirectory directory = new TargetDirectory(GRACE_MILLIS);

	private static DirectoryRecord row(String id, long offset, TargetState state) {
		return new DirectoryRecord(new TargetId(id), offset, Optional
			.of(new TargetEntry(new TargetId(id), POOL, "127.0.0.1", 80, new DomainId("north"), 4, state, 0)));
	}

	private static DirectoryRecord removal(String id, long offset) {
		return new DirectoryRecord(new TargetId(id), offset, Optional.empty());
	}

	private TargetDirectory with(DirectoryRecord... rows) {
		TargetDirectory fresh = new TargetDirectory(GRACE_MILLIS);
		fresh.apply(List.of(rows), 0);
		return fresh;
	}

	@Test
	public void drainingTargetTakesNoNewWork() {
		TargetDirectory known = with(row("a", 1, TargetState.READY), row("a", 2, TargetState.DRAINING));
		assertTrue(known.ready(POOL).isEmpty());
	}

	@Test
	public void olderRecordIsLeftOut() {
		TargetDirectory known = with(row("a", 2, TargetState.DRAINING), row("a", 1, TargetState.READY));
		assertTrue(known.ready(POOL).isEmpty());
	}

	@Test
	public void removalHoldsAtOnceWhileTheLogIsSound() {
		assertTrue(with(row("a", 1, TargetState.READY), removal("a", 2)).ready(POOL).isEmpty());
	}

	@Test
	public void targetMissingFromTheListIsGone() {
		TargetDirectory known = with(row("a", 1, TargetState.READY), row("b", 2, TargetState.READY));
		known.replace(List.of(row("b", 5, TargetState.READY)), 6, 10);
		assertEquals(known.ready(POOL).stream().map((entry) -> entry.id().value()).toList(), List.of("b"));
	}

	@Test
	public void entryWrittenAtTheEndOfTheListingCounts() {
		TargetDirectory known = with(row("a", 1, TargetState.READY));
		known.replace(List.of(), 6, 10);
		known.apply(List.of(row("a", 6, TargetState.READY)), 11);
		assertEquals(known.readyCount(), 1);
	}

	@Test
	public void missingEntryProvesNothingUntilTheGraceAfterAnOutageHasPassed() {
		TargetDirectory known = with(row("a", 1, TargetState.READY));
		known.logLost();
		known.apply(List.of(removal("a", 2)), 100);
		known.logRegained(1000);
		known.replace(List.of(), 3, 1000);
		assertEquals(known.review(1000 + GRACE_MILLIS - 1), List.of());
		assertEquals(known.readyCount(), 1);
		assertEquals(known.review(1000 + GRACE_MILLIS), List.of(new TargetId("a")));
		assertEquals(known.readyCount(), 0);
	}

	@Test
	public void entryThatComesBackWithinTheGraceKeepsItsTarget() {
		TargetDirectory known = with(row("a", 1, TargetState.READY));
		known.logLost();
		known.logRegained(1000);
		known.replace(List.of(), 3, 1000);
		known.apply(List.of(row("a", 4, TargetState.READY)), 2000);
		assertEquals(known.review(1000 + GRACE_MILLIS), List.of());
		assertEquals(known.readyCount(), 1);
	}

	@Test
	public void removalsAreForgottenInTheEnd() {
		TargetDirectory known = new TargetDirectory(GRACE_MILLIS);
		for (int target = 0; target < 3000; target++) {
			known.apply(
					List.of(row("t-" + target, 2 * target, TargetState.READY), removal("t-" + target, 2 * target + 1)),
					0);
		}
		known.apply(List.of(row("t-2999", 5998, TargetState.READY)), 0);
		assertEquals(known.readyCount(), 0);
		known.apply(List.of(row("t-0", 0, TargetState.READY)), 0);
		assertEquals(known.present().size(), 1);
	}

	@Test
	public void directoryStartsEmpty() {
		assertEquals(this.directory.readyCount(), 0);
		assertFalse(this.directory.isReady(row("a", 1, TargetState.READY).entry().orElseThrow()));
	}

}
