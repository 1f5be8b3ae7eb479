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

	private static final long DEADLINE = 10_000;

	private FakeLog log;

	private TestRouter one;

	private TestRouter two;

	@BeforeMethod
	public void start() {
		this.log = new FakeLog();
		this.one = started("vm-1");
		this.two = started("vm-2");
	}

	private TestRouter started(String vm) {
		TestRouter router = new TestRouter(vm, this.log);
		router.tick(0);
		router.read(100, 0);
		return router;
	}

	private void publishFirst() {
		this.one.publish("c1", ChangeSamples.FIRST, DEADLINE, 1);
		this.one.append(AppendResult.APPENDED, true, 2);
		this.one.read(100, 3);
		this.two.read(100, 3);
	}

	private static PublishResult accepted(long revision) {
		return new PublishResult(PublishVerdict.ACCEPTED, revision, 0, List.of());
	}

	private static PublishResult lost(long winner) {
		return new PublishResult(PublishVerdict.LOST_RACE, 0, winner, List.of());
	}

	private static PublishResult only(PublishVerdict verdict) {
		return new PublishResult(verdict, 0, 0, List.of());
	}

	@Test
	public void followsTheStreamFromItsStart() {
		TestRouter router = new TestRouter("vm-3", this.log);
		router.tick(0);
		router.tick(1);
		assertEquals(router.take(FollowStream.class), List.of(new FollowStream(StreamName.CATALOGUE, 1)));
	}

	@Test
	public void settlesPublishOnlyByReadingItBack() {
		this.one.publish("c1", ChangeSamples.FIRST, DEADLINE, 1);
		this.one.append(AppendResult.APPENDED, true, 2);
		assertEquals(this.one.results(), List.of());
		this.one.read(100, 3);
		assertEquals(this.one.results(), List.of(accepted(1)));
		assertEquals(this.one.take(RaiseEvent.class).size(), 1);
		assertEquals(this.one.handler.snapshot().entries().get(new EntryName("e1")).revision(), 1);
	}

	@Test
	public void givesTheRaceToTheFirstInTheLog() {
		publishFirst();
		this.one.publish("a", ChangeSamples.entry("e1", 1, 110), DEADLINE, 4);
		this.two.publish("b", ChangeSamples.entry("e1", 1, 120), DEADLINE, 4);
		this.two.append(AppendResult.APPENDED, true, 5);
		this.one.append(AppendResult.APPENDED, true, 6);
		this.one.results();
		this.one.read(100, 7);
		this.two.read(100, 7);
		assertEquals(this.one.results(), List.of(lost(2)));
		assertEquals(this.two.results(), List.of(accepted(2)));
		assertEquals(this.one.handler.history(), this.two.handler.history());
		assertEquals(this.one.handler.snapshot().entries().get(new EntryName("e1")).loadBoundPercent(), 120);
	}

	@Test
	public void tellsAnOldBaseAtOnce() {
		publishFirst();
		this.two.publish("b", ChangeSamples.entry("e1", 0, 120), DEADLINE, 4);
		assertEquals(this.two.results(), List.of(lost(1)));
		assertEquals(this.two.take(AppendLog.class), List.of());
	}

	@Test
	public void settlesLostAnswerOfAnAppendThatTookEffect() {
		this.one.publish("c1", ChangeSamples.FIRST, DEADLINE, 1);
		this.one.append(AppendResult.UNKNOWN, true, 2);
		this.one.read(100, 3);
		assertEquals(this.one.results(), List.of(accepted(1)));
	}

	@Test
	public void appendsAgainAfterLostAnswerAndTakesEffectOnce() {
		this.one.publish("c1", ChangeSamples.FIRST, DEADLINE, 1);
		AppendLog lostAppend = (AppendLog) this.one.actions.stream()
			.filter(AppendLog.class::isInstance)
			.findFirst()
			.orElseThrow();
		this.one.append(AppendResult.UNKNOWN, false, 2);
		this.one.tick(150);
		this.one.append(AppendResult.APPENDED, true, 160);
		this.log.append(lostAppend.records(), 170);
		this.one.read(100, 180);
		assertEquals(this.one.results(), List.of(accepted(1)));
		assertEquals(this.one.handler.history().size(), 1);
	}

	@Test
	public void saysUnknownOnlyAtTheDeadline() {
		this.one.publish("c1", ChangeSamples.FIRST, DEADLINE, 1);
		this.one.append(AppendResult.UNKNOWN, false, 2);
		this.one.tick(150);
		this.one.append(AppendResult.REJECTED, false, 160);
		this.one.tick(DEADLINE - 1);
		assertEquals(this.one.results(), List.of());
		this.one.tick(DEADLINE);
		assertEquals(this.one.results(), List.of(only(PublishVerdict.UNKNOWN)));
	}

	@Test
	public void saysUnavailableWhereTheAppendWasRejected() {
		this.one.publish("c1", ChangeSamples.FIRST, DEADLINE, 1);
		this.one.append(AppendResult.REJECTED, false, 2);
		assertEquals(this.one.results(), List.of(only(PublishVerdict.UNAVAILABLE)));
	}

	@Test
	public void saysUnavailableWhereTheLogWasNeverRead() {
		TestRouter router = new TestRouter("vm-3", this.log);
		router.tick(0);
		router.publish("c1", ChangeSamples.FIRST, DEADLINE, 1);
		router.tick(DEADLINE);
		assertEquals(router.results(), List.of(only(PublishVerdict.UNAVAILABLE)));
		assertEquals(router.take(AppendLog.class), List.of());
	}

	@Test
	public void answersRetryOfAChangeByItsFirstVerdict() {
		publishFirst();
		this.two.publish("c1", ChangeSamples.FIRST, DEADLINE, 4);
		assertEquals(this.two.results(), List.of(accepted(1)));
		assertEquals(this.two.take(AppendLog.class), List.of());
	}

	@Test
	public void rejectsAnotherChangeUnderAUsedChangeId() {
		publishFirst();
		this.two.publish("c1", ChangeSamples.entry("e2", 0, 100), DEADLINE, 4);
		assertEquals(this.two.results().get(0).findings().get(0).message(),
				"was used for another change, at revision 1 by ann");
		this.two.publish("c 1\n", ChangeSamples.FIRST, DEADLINE, 4);
		assertEquals(this.two.results().get(0).verdict(), PublishVerdict.REJECTED);
	}

	@Test
	public void rejectsReferencesThatDoNotHoldAfterReadingAgain() {
		this.one.publish("c1", ChangeSamples.entry("e1", 0, 100), DEADLINE, 1);
		this.one.tick(2);
		assertEquals(this.one.results(), List.of());
		this.one.read(100, 3);
		PublishResult result = this.one.results().get(0);
		assertEquals(result.verdict(), PublishVerdict.REJECTED);
		assertEquals(result.findings().stream().map((finding) -> finding.path() + ":" + finding.line()).toList(),
				List.of("entries[0].owner:4", "entries[0].pool:6"));
	}

	@Test
	public void findsReferencesThatAnotherRouterHasJustPublished() {
		this.two.publish("c2", ChangeSamples.entry("e2", 0, 100), DEADLINE, 1);
		this.one.publish("c1", ChangeSamples.FIRST, DEADLINE, 1);
		this.one.append(AppendResult.APPENDED, true, 2);
		this.two.read(100, 3);
		this.two.append(AppendResult.APPENDED, true, 4);
		this.two.read(100, 5);
		assertEquals(this.two.results(), List.of(accepted(2)));
	}

	@Test
	public void refusesRemovalOfWhatAnEntryNeeds() {
		publishFirst();
		this.one.results();
		this.one.publish("c2", ChangeSamples.removal("organisations", "id", "o1", 1), DEADLINE, 4);
		this.one.read(100, 200);
		PublishResult rejected = this.one.results().get(0);
		assertEquals(rejected.verdict(), PublishVerdict.REJECTED);
		assertEquals(rejected.findings(),
				List.of(new Finding("remove.organisations[0].id", 3, 12, "entry e1: no organisation is named o1")));
		this.one.publish("c3", ChangeSamples.removal("entries", "name", "e1", 1), DEADLINE, 201);
		this.one.append(AppendResult.APPENDED, true, 202);
		this.one.read(100, 203);
		assertEquals(this.one.results(), List.of(accepted(2)));
		assertTrue(this.one.handler.snapshot().entries().isEmpty());
	}

	@Test
	public void passesOverUnknownAndCorruptRecords() {
		publishFirst();
		this.one.events();
		this.log.append(List.of(new RecordBody("catalogue-change.v9", new byte[] { 1 }),
				new RecordBody(RecordType.CHANGE, new byte[] { 2 }),
				new RecordBody(RecordType.CHECKPOINT, new byte[0])), 4);
		this.one.publish("c2", ChangeSamples.entry("e1", 1, 110), DEADLINE, 4);
		this.one.append(AppendResult.APPENDED, true, 5);
		this.one.read(100, 6);
		assertEquals(this.one.events(), List.of("catalogue-record-unknown", "catalogue-record-corrupt",
				"catalogue-record-corrupt", "catalogue-changed", "publish-ended"));
		assertEquals(this.one.handler.snapshot().revision(), 5);
	}

	@Test
	public void passesOverARecordThatBreaksARuleOfItsItems() {
		publishFirst();
		String body = """
				{"changeId":"x","author":"x","contentHash":1,"delta":{"targets":[],"entries":[],"removals":[],
				"organisations":[{"revision":0,"item":{"id":"o2","keyDigest":"%s","concurrencyLimit":%d,"weight":1}}]}}
				""";
		for (int limit : new int[] { 0, 5 }) {
			byte[] bytes = body.formatted(ChangeSamples.DIGEST, limit).getBytes(StandardCharsets.UTF_8);
			this.log.append(List.of(new RecordBody(RecordType.CHANGE, bytes)), 4);
		}
		this.one.events();
		this.one.read(100, 5);
		assertEquals(this.one.events(), List.of("catalogue-record-corrupt", "catalogue-changed"));
		assertEquals(this.one.handler.snapshot().revision(), 3);
	}

}
