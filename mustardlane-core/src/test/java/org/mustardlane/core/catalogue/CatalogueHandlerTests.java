package org.mustardlane.core.catalogue;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.RaiseEvent;
import org.mustardlane.core.model.catalogue.Finding;
import org.mustardlane.core.model.catalogue.PublishResult;
import org.mustardlane.core.model.catalogue.PublishVerdict;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link CatalogueHandler}.
 */
public class CatalogueHandlerTests {

	private static final long DEADLINE_MILLIS = 10_000;

	private FakeLog log;

	private TestRouter first;

	private TestRouter second;

	@BeforeMethod
	public void start() {
		this.log = new FakeLog();
		this.first = startRouter("vm-1");
		this.second = startRouter("vm-2");
	}

	private TestRouter startRouter(String vm) {
		TestRouter router = new TestRouter(vm, this.log);
		router.tick(0);
		router.read(100, 0);
		return router;
	}

	private void publishInitialCatalogue() {
		this.first.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 1);
		this.first.performAppends(AppendResult.APPENDED, true, 2);
		this.first.read(100, 3);
		this.second.read(100, 3);
	}

	private static PublishResult acceptedResult(long revision) {
		return new PublishResult(PublishVerdict.ACCEPTED, revision, 0, List.of());
	}

	private static PublishResult lostTo(long winnerRevision) {
		return new PublishResult(PublishVerdict.LOST_RACE, 0, winnerRevision, List.of());
	}

	private static PublishResult resultWith(PublishVerdict verdict) {
		return new PublishResult(verdict, 0, 0, List.of());
	}

	@Test
	public void subscribesToTheStreamFromItsStart() {
		TestRouter router = new TestRouter("vm-3", this.log);
		router.tick(0);
		router.tick(1);
		assertEquals(router.takeActions(FollowStream.class), List.of(new FollowStream(StreamName.CATALOGUE, 1)));
	}

	@Test
	public void reportsResultOnlyAfterReadingTheChangeFromTheLog() {
		this.first.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 1);
		this.first.performAppends(AppendResult.APPENDED, true, 2);
		assertEquals(this.first.takeResults(), List.of());
		this.first.read(100, 3);
		assertEquals(this.first.takeResults(), List.of(acceptedResult(1)));
		assertEquals(this.first.takeActions(RaiseEvent.class).size(), 1);
		assertEquals(this.first.handler.snapshot().entries().get(new EntryName("e1")).revision(), 1);
	}

	@Test
	public void acceptsTheFirstOfTwoConflictingChangesInTheLog() {
		publishInitialCatalogue();
		this.first.publish("a", ChangeSamples.entry("e1", 1, 110), DEADLINE_MILLIS, 4);
		this.second.publish("b", ChangeSamples.entry("e1", 1, 120), DEADLINE_MILLIS, 4);
		this.second.performAppends(AppendResult.APPENDED, true, 5);
		this.first.performAppends(AppendResult.APPENDED, true, 6);
		this.first.takeResults();
		this.first.read(100, 7);
		this.second.read(100, 7);
		assertEquals(this.first.takeResults(), List.of(lostTo(2)));
		assertEquals(this.second.takeResults(), List.of(acceptedResult(2)));
		assertEquals(this.first.handler.history(), this.second.handler.history());
		assertEquals(this.first.handler.snapshot().entries().get(new EntryName("e1")).loadBoundPercent(), 120);
	}

	@Test
	public void reportsOutdatedBaseRevisionWithoutAppend() {
		publishInitialCatalogue();
		this.second.publish("b", ChangeSamples.entry("e1", 0, 120), DEADLINE_MILLIS, 4);
		assertEquals(this.second.takeResults(), List.of(lostTo(1)));
		assertEquals(this.second.takeActions(AppendLog.class), List.of());
	}

	@Test
	public void acceptsChangeAfterAppendWithUnknownResultThatTookEffect() {
		this.first.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 1);
		this.first.performAppends(AppendResult.UNKNOWN, true, 2);
		this.first.read(100, 3);
		assertEquals(this.first.takeResults(), List.of(acceptedResult(1)));
	}

	@Test
	public void retriesAppendWithUnknownResultAndAppliesTheChangeOnce() {
		this.first.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 1);
		AppendLog lostAppend = (AppendLog) this.first.actions.stream()
			.filter(AppendLog.class::isInstance)
			.findFirst()
			.orElseThrow();
		this.first.performAppends(AppendResult.UNKNOWN, false, 2);
		this.first.tick(150);
		this.first.performAppends(AppendResult.APPENDED, true, 160);
		this.log.append(lostAppend.records(), 170);
		this.first.read(100, 180);
		assertEquals(this.first.takeResults(), List.of(acceptedResult(1)));
		assertEquals(this.first.handler.history().size(), 1);
	}

	@Test
	public void reportsUnknownOnlyAtTheDeadline() {
		this.first.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 1);
		this.first.performAppends(AppendResult.UNKNOWN, false, 2);
		this.first.tick(150);
		this.first.performAppends(AppendResult.REJECTED, false, 160);
		this.first.tick(DEADLINE_MILLIS - 1);
		assertEquals(this.first.takeResults(), List.of());
		this.first.tick(DEADLINE_MILLIS);
		assertEquals(this.first.takeResults(), List.of(resultWith(PublishVerdict.UNKNOWN)));
	}

	@Test
	public void reportsUnavailableAfterRejectedAppend() {
		this.first.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 1);
		this.first.performAppends(AppendResult.REJECTED, false, 2);
		assertEquals(this.first.takeResults(), List.of(resultWith(PublishVerdict.UNAVAILABLE)));
	}

	@Test
	public void reportsUnavailableIfTheLogWasNeverRead() {
		TestRouter router = new TestRouter("vm-3", this.log);
		router.tick(0);
		router.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 1);
		router.tick(DEADLINE_MILLIS);
		assertEquals(router.takeResults(), List.of(resultWith(PublishVerdict.UNAVAILABLE)));
		assertEquals(router.takeActions(AppendLog.class), List.of());
	}

	@Test
	public void returnsTheFirstVerdictForARetriedChange() {
		publishInitialCatalogue();
		this.second.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 4);
		assertEquals(this.second.takeResults(), List.of(acceptedResult(1)));
		assertEquals(this.second.takeActions(AppendLog.class), List.of());
	}

	@Test
	public void rejectsADifferentChangeWithAUsedChangeId() {
		publishInitialCatalogue();
		this.second.publish("c1", ChangeSamples.entry("e2", 0, 100), DEADLINE_MILLIS, 4);
		assertEquals(this.second.takeResults().get(0).findings().get(0).message(),
				"was used for another change, at revision 1 by ann");
		this.second.publish("c 1\n", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 4);
		assertEquals(this.second.takeResults().get(0).verdict(), PublishVerdict.REJECTED);
	}

	@Test
	public void rejectsInvalidReferencesOnlyAfterReadingTheLogAgain() {
		this.first.publish("c1", ChangeSamples.entry("e1", 0, 100), DEADLINE_MILLIS, 1);
		this.first.tick(2);
		assertEquals(this.first.takeResults(), List.of());
		this.first.read(100, 3);
		PublishResult result = this.first.takeResults().get(0);
		assertEquals(result.verdict(), PublishVerdict.REJECTED);
		assertEquals(result.findings().stream().map((finding) -> finding.path() + ":" + finding.line()).toList(),
				List.of("entries[0].owner:4", "entries[0].pool:6"));
	}

	@Test
	public void acceptsReferencesThatAnotherRouterHasJustPublished() {
		this.second.publish("c2", ChangeSamples.entry("e2", 0, 100), DEADLINE_MILLIS, 1);
		this.first.publish("c1", ChangeSamples.INITIAL_CATALOGUE, DEADLINE_MILLIS, 1);
		this.first.performAppends(AppendResult.APPENDED, true, 2);
		this.second.read(100, 3);
		this.second.performAppends(AppendResult.APPENDED, true, 4);
		this.second.read(100, 5);
		assertEquals(this.second.takeResults(), List.of(acceptedResult(2)));
	}

	@Test
	public void rejectsRemovalOfAnItemThatAnEntryReferences() {
		publishInitialCatalogue();
		this.first.takeResults();
		this.first.publish("c2", ChangeSamples.removal("organisations", "id", "o1", 1), DEADLINE_MILLIS, 4);
		this.first.read(100, 200);
		PublishResult rejected = this.first.takeResults().get(0);
		assertEquals(rejected.verdict(), PublishVerdict.REJECTED);
		assertEquals(rejected.findings(),
				List.of(new Finding("remove.organisations[0].id", 3, 12, "entry e1: no organisation is named o1")));
		this.first.publish("c3", ChangeSamples.removal("entries", "name", "e1", 1), DEADLINE_MILLIS, 201);
		this.first.performAppends(AppendResult.APPENDED, true, 202);
		this.first.read(100, 203);
		assertEquals(this.first.takeResults(), List.of(acceptedResult(2)));
		assertTrue(this.first.handler.snapshot().entries().isEmpty());
	}

	@Test
	public void skipsUnknownAndCorruptRecords() {
		publishInitialCatalogue();
		this.first.takeEventKinds();
		this.log.append(List.of(new RecordBody("catalogue-change.v9", new byte[] { 1 }),
				new RecordBody(RecordType.CHANGE, new byte[] { 2 }),
				new RecordBody(RecordType.CHECKPOINT, new byte[0])), 4);
		this.first.publish("c2", ChangeSamples.entry("e1", 1, 110), DEADLINE_MILLIS, 4);
		this.first.performAppends(AppendResult.APPENDED, true, 5);
		this.first.read(100, 6);
		assertEquals(this.first.takeEventKinds(), List.of("catalogue-record-unknown", "catalogue-record-corrupt",
				"catalogue-record-corrupt", "catalogue-changed", "publish-ended"));
		assertEquals(this.first.handler.snapshot().revision(), 5);
	}

	@Test
	public void skipsRecordWhoseItemViolatesARule() {
		publishInitialCatalogue();
		String body = """
				{"changeId":"x","author":"x","contentHash":1,"delta":{"targets":[],"entries":[],"removals":[],
				"organisations":[{"revision":0,"item":{"id":"o2","keyDigest":"%s","concurrencyLimit":%d,"weight":1}}]}}
				""";
		for (int concurrencyLimit : new int[] { 0, 5 }) {
			byte[] bytes = body.formatted(ChangeSamples.DIGEST, concurrencyLimit).getBytes(StandardCharsets.UTF_8);
			this.log.append(List.of(new RecordBody(RecordType.CHANGE, bytes)), 4);
		}
		this.first.takeEventKinds();
		this.first.read(100, 5);
		assertEquals(this.first.takeEventKinds(), List.of("catalogue-record-corrupt", "catalogue-changed"));
		assertEquals(this.first.handler.snapshot().revision(), 3);
	}

}
