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

	private static final int GRACE_PERIOD_MILLIS = 2500;

	private static final PoolId POOL = new PoolId("pool");

	private final TargetDirectory directory = new TargetDirectory(GRACE_PERIOD_MILLIS);

	private static DirectoryRecord entryRecord(String id, long offset, TargetState state) {
		return entryRecord(id, new LogPosition(0, offset), state, offset);
	}

	private static DirectoryRecord entryRecord(String id, LogPosition position, TargetState state, long sequence) {
		return new DirectoryRecord(new TargetId(id), position, Optional.of(new TargetEntry(new TargetId(id), POOL,
				"127.0.0.1", 80, new DomainId("north"), 4, "v1", state, 0, sequence)));
	}

	private static DirectoryRecord removal(String id, long offset) {
		return new DirectoryRecord(new TargetId(id), new LogPosition(0, offset), Optional.empty());
	}

	private TargetDirectory directoryWith(DirectoryRecord... records) {
		TargetDirectory newDirectory = new TargetDirectory(GRACE_PERIOD_MILLIS);
		newDirectory.apply(List.of(records), 0);
		return newDirectory;
	}

	@Test
	public void drainingTargetIsNotReady() {
		TargetDirectory targets = directoryWith(entryRecord("a", 1, TargetState.READY),
				entryRecord("a", 2, TargetState.DRAINING));
		assertTrue(targets.readyTargets(POOL).isEmpty());
	}

	@Test
	public void olderRecordIsIgnored() {
		TargetDirectory targets = directoryWith(entryRecord("a", 2, TargetState.DRAINING),
				entryRecord("a", 1, TargetState.READY));
		assertTrue(targets.readyTargets(POOL).isEmpty());
	}

	@Test
	public void removalTakesEffectAtOnceWhileTheLogIsAvailable() {
		assertTrue(directoryWith(entryRecord("a", 1, TargetState.READY), removal("a", 2)).readyTargets(POOL).isEmpty());
	}

	@Test
	public void targetMissingFromTheListingIsRemoved() {
		TargetDirectory targets = directoryWith(entryRecord("a", 1, TargetState.READY),
				entryRecord("b", 2, TargetState.READY));
		targets.applySnapshot(List.of(entryRecord("b", 5, TargetState.READY)), new LogPosition(0, 6), 10);
		assertEquals(targets.readyTargets(POOL).stream().map((entry) -> entry.id().value()).toList(), List.of("b"));
	}

	@Test
	public void entryWrittenAfterTheListingIsApplied() {
		TargetDirectory targets = directoryWith(entryRecord("a", 1, TargetState.READY));
		targets.applySnapshot(List.of(), new LogPosition(0, 6), 10);
		targets.apply(List.of(entryRecord("a", 6, TargetState.READY)), 11);
		assertEquals(targets.readyCount(), 1);
	}

	@Test
	public void targetWithMissingEntryIsKeptUntilTheGracePeriodAfterAnOutageEnds() {
		TargetDirectory targets = directoryWith(entryRecord("a", 1, TargetState.READY));
		targets.markLogUnavailable();
		targets.apply(List.of(removal("a", 2)), 100);
		targets.markLogAvailable(1000);
		targets.applySnapshot(List.of(), new LogPosition(0, 3), 1000);
		assertEquals(targets.removeMissing(1000 + GRACE_PERIOD_MILLIS - 1), List.of());
		assertEquals(targets.readyCount(), 1);
		assertEquals(targets.removeMissing(1000 + GRACE_PERIOD_MILLIS), List.of(new TargetId("a")));
		assertEquals(targets.readyCount(), 0);
	}

	@Test
	public void entryThatReappearsWithinTheGracePeriodKeepsItsTarget() {
		TargetDirectory targets = directoryWith(entryRecord("a", 1, TargetState.READY));
		targets.markLogUnavailable();
		targets.markLogAvailable(1000);
		targets.applySnapshot(List.of(), new LogPosition(0, 3), 1000);
		targets.apply(List.of(entryRecord("a", 4, TargetState.READY)), 2000);
		assertEquals(targets.removeMissing(1000 + GRACE_PERIOD_MILLIS), List.of());
		assertEquals(targets.readyCount(), 1);
	}

	@Test
	public void targetThatStartsToDrainAfterARestorationOfTheLogIsNotReady() {
		TargetDirectory targets = directoryWith(entryRecord("a", 50, TargetState.READY));
		targets.applySnapshot(List.of(entryRecord("a", new LogPosition(1, 3), TargetState.READY, 50)),
				new LogPosition(1, 4), 10);
		targets.apply(List.of(entryRecord("a", new LogPosition(1, 4), TargetState.DRAINING, 51)), 20);
		assertEquals(targets.readyCount(), 0);
	}

	@Test
	public void restoredCopyDoesNotMakeADrainingTargetReadyAgain() {
		TargetDirectory targets = directoryWith(entryRecord("a", 50, TargetState.READY),
				entryRecord("a", 51, TargetState.DRAINING));
		targets.applySnapshot(List.of(entryRecord("a", new LogPosition(1, 3), TargetState.READY, 50)),
				new LogPosition(1, 4), 10);
		assertEquals(targets.readyCount(), 0);
		targets.apply(List.of(entryRecord("a", new LogPosition(1, 4), TargetState.DRAINING, 51)), 2000);
		assertEquals(targets.applyHeld(60_000), List.of());
		assertEquals(targets.readyCount(), 0);
	}

	@Test
	public void restoredCopyDoesNotBringARemovedTargetBackBeforeItWouldHaveExpired() {
		TargetDirectory targets = directoryWith(entryRecord("a", 50, TargetState.READY), removal("a", 51));
		targets.applySnapshot(List.of(entryRecord("a", new LogPosition(1, 3), TargetState.READY, 50)),
				new LogPosition(1, 4), 10);
		targets.applyHeld(8009);
		assertEquals(targets.readyCount(), 0);
		targets.applyHeld(8010);
		assertEquals(targets.readyCount(), 1);
	}

	@Test
	public void removedTargetThatRenewsItsEntryAfterARestorationIsReady() {
		TargetDirectory targets = directoryWith(entryRecord("a", 50, TargetState.READY), removal("a", 51));
		targets.applySnapshot(List.of(entryRecord("a", new LogPosition(1, 3), TargetState.READY, 50)),
				new LogPosition(1, 4), 10);
		targets.apply(List.of(entryRecord("a", new LogPosition(1, 4), TargetState.READY, 52)), 1000);
		assertEquals(targets.readyCount(), 1);
	}

	@Test
	public void targetWhoseEntryARestorationLosesIsKeptUntilItHadTimeToRenewIt() {
		TargetDirectory targets = directoryWith(entryRecord("a", 50, TargetState.READY));
		targets.applySnapshot(List.of(), new LogPosition(1, 4), 10);
		assertEquals(targets.readyCount(), 1);
		targets.apply(List.of(entryRecord("a", new LogPosition(1, 4), TargetState.READY, 57)), 1500);
		assertEquals(targets.removeMissing(60_000), List.of());
		assertEquals(targets.readyCount(), 1);
	}

	@Test
	public void targetWhoseEntryARestorationLosesForGoodIsRemoved() {
		TargetDirectory targets = directoryWith(entryRecord("a", 50, TargetState.READY));
		targets.applySnapshot(List.of(), new LogPosition(1, 4), 10);
		assertEquals(targets.removeMissing(10 + GRACE_PERIOD_MILLIS), List.of(new TargetId("a")));
		assertEquals(targets.readyCount(), 0);
	}

	@Test
	public void oldestRemovalsAreDiscarded() {
		TargetDirectory targets = new TargetDirectory(GRACE_PERIOD_MILLIS);
		for (int number = 0; number < 3000; number++) {
			targets.apply(List.of(entryRecord("t-" + number, 2 * number, TargetState.READY),
					removal("t-" + number, 2 * number + 1)), 0);
		}
		targets.apply(List.of(entryRecord("t-2999", 5998, TargetState.READY)), 0);
		assertEquals(targets.readyCount(), 0);
		targets.apply(List.of(entryRecord("t-0", 0, TargetState.READY)), 0);
		assertEquals(targets.targetIds().size(), 1);
	}

	@Test
	public void directoryStartsEmpty() {
		assertEquals(this.directory.readyCount(), 0);
		assertFalse(this.directory.isReady(entryRecord("a", 1, TargetState.READY).entry().orElseThrow()));
	}

	private static DirectoryRecord startedRecord(String id, long offset, long startedAtMillis) {
		return new DirectoryRecord(new TargetId(id), new LogPosition(0, offset),
				Optional.of(new TargetEntry(new TargetId(id), POOL, "127.0.0.1", 80, new DomainId("north"), 4, "v1",
						TargetState.READY, startedAtMillis, offset)));
	}

	@Test
	public void targetThatSaysThatItLeavesIsNotReadyUntilItStartsAgain() {
		TargetDirectory targets = directoryWith(startedRecord("a", 1, 100));
		TargetEntry target = targets.readyTargets(POOL).get(0);
		assertTrue(targets.markLeaving(target));
		assertFalse(targets.markLeaving(target));
		assertTrue(targets.readyTargets(POOL).isEmpty());
		assertFalse(targets.isReady(target));
		targets.apply(List.of(startedRecord("a", 2, 100)), 0);
		assertTrue(targets.readyTargets(POOL).isEmpty());
		targets.apply(List.of(removal("a", 3)), 0);
		targets.apply(List.of(startedRecord("a", 4, 100)), 0);
		assertTrue(targets.readyTargets(POOL).isEmpty());
		targets.apply(List.of(startedRecord("a", 5, 101)), 0);
		assertEquals(targets.readyTargets(POOL).size(), 1);
	}

	@Test
	public void lateAnswerOfAnEarlierStartDoesNotMakeALeavingTargetReady() {
		TargetDirectory targets = directoryWith(startedRecord("a", 1, 100));
		TargetEntry earlierStart = targets.readyTargets(POOL).get(0);
		targets.apply(List.of(startedRecord("a", 2, 200)), 0);
		targets.markLeaving(targets.readyTargets(POOL).get(0));
		assertFalse(targets.markLeaving(earlierStart));
		assertTrue(targets.readyTargets(POOL).isEmpty());
	}

	@Test
	public void leavingTargetOfUnknownStartIsReadyAgainOnlyAfterItsRemoval() {
		TargetDirectory targets = directoryWith(startedRecord("a", 1, 0));
		targets.markLeaving(targets.readyTargets(POOL).get(0));
		targets.apply(List.of(startedRecord("a", 2, 0)), 0);
		assertTrue(targets.readyTargets(POOL).isEmpty());
		targets.apply(List.of(removal("a", 3)), 0);
		targets.apply(List.of(startedRecord("a", 4, 0)), 0);
		assertEquals(targets.readyTargets(POOL).size(), 1);
	}

}
