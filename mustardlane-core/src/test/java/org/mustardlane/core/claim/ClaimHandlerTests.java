package org.mustardlane.core.claim;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.message.ClaimAnswer;
import org.mustardlane.core.message.ClaimAsk;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.StoredAnswer;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link ClaimHandler}.
 */
public class ClaimHandlerTests {

	static final ClaimSettings SETTINGS = new ClaimSettings(20_000, 1_000, 50, 500, 100, 2_000, 500, 20, 1_000, 1_000,
			10_000, 4_096, 65_536);

	private static final VmId A = new VmId("a");

	private static final VmId B = new VmId("b");

	private static final String KEY = "key";

	private static final StreamName STREAM = StreamName.claims(Ownership.partitionOf(KEY));

	private FakeRouters routers;

	@BeforeMethod
	public void startRouters() {
		this.routers = new FakeRouters(SETTINGS, "a", "b");
		this.routers.view(A, A);
		this.routers.pass(50);
	}

	@Test
	public void holdsKeyOnlyAfterReadingOwnClaimBack() {
		this.routers.readable = false;
		ask(A, "first");
		this.routers.pass(500);
		assertEquals(records(ClaimCodec.CLAIM), 1);
		assertTrue(this.routers.answers.isEmpty());
		this.routers.readable = true;
		this.routers.pass(10);
		assertEquals(answer("first").verdict(), ClaimVerdict.HELD);
		assertEquals(answer("first").offset(), 1);
	}

	@Test
	public void twoOwnersAtOnceGiveKeyToOneAttempt() {
		this.routers.view(B, B);
		this.routers.pass(50);
		ask(A, "first");
		ask(B, "second");
		this.routers.pass(100);
		assertEquals(answer("first").verdict(), ClaimVerdict.HELD);
		assertEquals(answer("second").verdict(), ClaimVerdict.HELD_BY_OTHER);
		assertEquals(answer("second").holderVm().orElseThrow(), A);
		assertEquals(answer("second").holderRequestId().orElseThrow(), new RequestId("request-first"));
	}

	@Test
	public void settlesLostAppendAnswerByReading() {
		this.routers.fault = () -> FakeLog.Fault.LOST_ANSWER;
		ask(A, "first");
		this.routers.pass(900);
		assertEquals(answer("first").verdict(), ClaimVerdict.HELD);
		assertEquals(records(ClaimCodec.CLAIM), 1);
	}

	@DataProvider
	public Object[][] lateEffects() {
		return new Object[][] { { 1_200 }, { 5_000 }, { 19_000 } };
	}

	@Test(dataProvider = "lateEffects")
	public void lateClaimIsDeadAndKeyCanBeClaimedAgain(long lateEffectMillis) {
		this.routers.lateEffectMillis = lateEffectMillis;
		this.routers.fault = () -> FakeLog.Fault.LATE_EFFECT;
		ask(A, "late");
		this.routers.pass(1_000);
		assertEquals(answer("late").verdict(), ClaimVerdict.UNAVAILABLE);
		this.routers.fault = () -> FakeLog.Fault.NONE;
		this.routers.pass(19_000);
		assertEquals(records(ClaimCodec.CLAIM), 1);
		this.routers.view(B, B);
		this.routers.pass(50);
		ask(B, "retry");
		this.routers.pass(50);
		assertEquals(answer("retry").verdict(), ClaimVerdict.HELD);
		assertEquals(answers("late"), 1);
	}

	@Test
	public void newOwnerDecidesNothingBeforeEndOfWindow() {
		claim(A, "first");
		this.routers.log.write(STREAM, Collections.nCopies(120, ClaimCodec.marker()), this.routers.nowMillis);
		this.routers.readable = false;
		this.routers.view(B, B);
		ask(B, "second");
		this.routers.pass(500);
		assertTrue(this.routers.answers.isEmpty());
		assertEquals(records(ClaimCodec.CLAIM), 1);
		this.routers.readable = true;
		this.routers.pass(50);
		assertEquals(answer("second").verdict(), ClaimVerdict.HELD_BY_OTHER);
		assertEquals(records(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void newOwnerFindsClaimThatOldOwnerAppended() {
		this.routers.readable = false;
		ask(A, "first");
		this.routers.freeze(A, true);
		this.routers.readable = true;
		this.routers.view(B, B);
		ask(B, "first");
		this.routers.pass(100);
		assertEquals(answer("first").verdict(), ClaimVerdict.HELD);
		assertEquals(records(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void pausedOwnerNeverGivesKeyAfterDeadline() {
		this.routers.readable = false;
		ask(A, "first");
		this.routers.freeze(A, true);
		this.routers.readable = true;
		this.routers.pass(15_000);
		this.routers.freeze(A, false);
		this.routers.pass(100);
		assertEquals(answer("first").verdict(), ClaimVerdict.UNAVAILABLE);
		claim(A, "retry");
	}

	@Test
	public void releaseMakesRoomForNextAttempt() {
		claim(A, "first");
		this.routers.send(A, A, new ClaimRelease(KEY, "first"));
		this.routers.pass(200);
		claim(A, "second");
	}

	@Test
	public void releaseSentToFormerOwnerCounts() {
		claim(A, "first");
		this.routers.send(A, B, new ClaimRelease(KEY, "first"));
		this.routers.pass(200);
		claim(A, "second");
	}

	@Test
	public void releaseByAnotherRouterDoesNotCount() {
		claim(A, "first");
		this.routers.send(B, A, new ClaimRelease(KEY, "first"));
		this.routers.pass(200);
		assertEquals(records(ClaimCodec.RELEASE), 0);
		assertEquals(this.routers.events.get(0).event().kind(), "claim-release-refused");
	}

	@Test
	public void otherBodyUnderSameKeyIsTold() {
		claim(A, "first");
		this.routers.send(B, A, askOf("second", "other body", this.routers.nowMillis + 5_000));
		assertEquals(answer("second").verdict(), ClaimVerdict.BODY_DIFFERS);
	}

	@DataProvider
	public Object[][] answerSizes() {
		return new Object[][] { { 4_096, ClaimVerdict.COMPLETED }, { 4_097, ClaimVerdict.HELD_BY_OTHER } };
	}

	@Test(dataProvider = "answerSizes")
	public void smallAnswerOutlivesItsOwner(int bytes, ClaimVerdict verdict) {
		claim(A, "first");
		StoredAnswer answer = new StoredAnswer(200, "text/plain", new byte[bytes]);
		this.routers.send(A, A, new ClaimCompletion(KEY, "first", answer));
		this.routers.pass(200);
		this.routers.view(B, B);
		this.routers.pass(50);
		ask(B, "second");
		assertEquals(answer("second").verdict(), verdict);
		assertEquals(answer("second").answer().map((stored) -> stored.body().length).orElse(4_097).intValue(), bytes);
	}

	@DataProvider
	public Object[][] outages() {
		return new Object[][] { { FakeLog.Fault.REJECTED, true }, { FakeLog.Fault.NO_EFFECT, true },
				{ FakeLog.Fault.NONE, false }, { FakeLog.Fault.LOST_ANSWER, false },
				{ FakeLog.Fault.REJECTED, false } };
	}

	@Test(dataProvider = "outages")
	public void outageIsToldInTimeAndKeyRunsAfterIt(FakeLog.Fault fault, boolean readable) {
		this.routers.readable = readable;
		this.routers.fault = () -> fault;
		this.routers.send(A, A, askOf("first", "body", this.routers.nowMillis + 700));
		this.routers.pass(650);
		assertEquals(answer("first").verdict(), ClaimVerdict.UNAVAILABLE);
		assertTrue(answer("first").retryAfterMillis() >= 500);
		this.routers.pass(30_000);
		this.routers.readable = true;
		this.routers.fault = () -> FakeLog.Fault.NONE;
		this.routers.pass(3_000);
		claim(A, "retry");
		assertEquals(answers("first"), 1);
	}

	@Test
	public void attemptThatWasRefusedStaysRefused() {
		this.routers.readable = false;
		ask(A, "first");
		this.routers.pass(1_000);
		this.routers.readable = true;
		ask(A, "first");
		this.routers.pass(300);
		ask(A, "first");
		this.routers.pass(1_000);
		assertEquals(answers("first"), 3);
		assertTrue(this.routers.answers.stream().allMatch((one) -> one.verdict() == ClaimVerdict.UNAVAILABLE));
	}

	@Test
	public void streamThatFallsSilentIsFollowedAgain() {
		this.routers.loseFollowed(A);
		this.routers.pass(10_100);
		claim(A, "first");
	}

	@Test
	public void partitionThatIsLostIsNoLongerRead() {
		claim(A, "first");
		this.routers.view(A, B);
		this.routers.pass(29_000);
		assertTrue(this.routers.follows(A, STREAM));
		this.routers.pass(2_000);
		assertFalse(this.routers.follows(A, STREAM));
		this.routers.follow(A, STREAM);
		this.routers.pass(100);
		assertFalse(this.routers.follows(A, STREAM));
	}

	@Test
	public void outageThatLastsIsToldAtOnce() {
		this.routers.readable = false;
		this.routers.pass(1_500);
		ask(A, "first");
		assertEquals(answer("first").verdict(), ClaimVerdict.UNAVAILABLE);
		this.routers.readable = true;
		this.routers.pass(10);
		claim(A, "second");
		assertEquals(records(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void outageWhileNewOwnerReadsIsTold() {
		this.routers.readable = false;
		this.routers.view(B, B);
		ask(B, "first");
		this.routers.pass(1_000);
		assertEquals(answer("first").verdict(), ClaimVerdict.UNAVAILABLE);
		assertEquals(records(ClaimCodec.CLAIM), 0);
	}

	@Test
	public void claimsOutliveRetention() {
		claim(A, "first");
		passWithRetention(15_000);
		assertEquals(claimsInLog("first"), 0);
		this.routers.view(B, B);
		passWithRetention(100);
		ask(B, "second");
		assertEquals(answer("second").verdict(), ClaimVerdict.HELD_BY_OTHER);
		passWithRetention(6_000);
		claim(B, "third");
	}

	@Test
	public void fastClockOfOwnerDoesNotEndClaim() {
		claim(A, "first");
		this.routers.pass(SETTINGS.windowMillis() - 2_000);
		this.routers.skew(A, 3_000);
		ask(A, "second");
		this.routers.pass(1_000);
		assertEquals(answer("second").verdict(), ClaimVerdict.UNAVAILABLE);
	}

	@Test
	public void idlePartitionStaysUsable() {
		claim(A, "first");
		passWithRetention(60_000);
		this.routers.view(B, B);
		this.routers.pass(50);
		claim(B, "second");
	}

	@Test
	public void checkpointWrittenTwiceIsHarmless() {
		claim(A, "first");
		this.routers.view(B, B);
		passWithRetention(9_000);
		assertTrue(records(ClaimCodec.CHECKPOINT) >= 4, "checkpoints " + records(ClaimCodec.CHECKPOINT));
		this.routers.start(B);
		this.routers.view(B, B);
		this.routers.pass(50);
		ask(B, "second");
		ask(A, "third");
		assertEquals(answer("second").holderVm().orElseThrow(), A);
		assertEquals(answer("third").verdict(), ClaimVerdict.HELD_BY_OTHER);
	}

	@Test
	public void gapInHistoryIsUnavailableForOneWindow() {
		claim(A, "first");
		this.routers.freeze(A, true);
		passWithRetention(6_000);
		this.routers.view(B, B);
		this.routers.pass(100);
		ask(B, "second");
		assertEquals(answer("second").verdict(), ClaimVerdict.UNAVAILABLE);
		assertTrue(answer("second").retryAfterMillis() > 19_000);
		this.routers.pass(20_600);
		claim(B, "third");
	}

	@Test
	public void fastClockOfNewOwnerDoesNotShortenGap() {
		claim(A, "first");
		this.routers.freeze(A, true);
		passWithRetention(6_000);
		this.routers.skew(B, 30_000);
		this.routers.view(B, B);
		this.routers.pass(100);
		this.routers.send(A, B, askOf("second", "body", this.routers.nowMillis + 35_000));
		this.routers.pass(1_000);
		assertEquals(answer("second").verdict(), ClaimVerdict.UNAVAILABLE);
		assertEquals(records(ClaimCodec.CLAIM), 2);
	}

	@Test
	public void routerThatDoesNotOwnSaysSo() {
		ask(B, "first");
		assertEquals(answer("first").verdict(), ClaimVerdict.NOT_OWNER);
	}

	@Test
	public void manyClaimsShareFewAppends() {
		for (int number = 0; number < 100; number++) {
			this.routers.send(A, A, askOf("attempt" + number, KEY, "body", this.routers.nowMillis + 5_000));
			this.routers.pass(10);
		}
		this.routers.pass(200);
		long held = this.routers.answers.stream().filter((answer) -> answer.verdict() == ClaimVerdict.HELD).count();
		assertEquals(held, 1);
		assertEquals(records(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void claimsOfManyKeysShareFewAppends() {
		int asked = 0;
		for (int number = 0; asked < 100; number++) {
			if (StreamName.claims(Ownership.partitionOf("k" + number)).equals(STREAM)) {
				this.routers.send(A, A,
						askOf("attempt" + number, "k" + number, "body", this.routers.nowMillis + 5_000));
				this.routers.pass(10);
				asked++;
			}
		}
		this.routers.pass(200);
		assertEquals(this.routers.answers.stream().filter((one) -> one.verdict() == ClaimVerdict.HELD).count(), 100);
		long appends = this.routers.log.records(STREAM)
			.stream()
			.mapToLong(LogRecord::appendedAtMillis)
			.distinct()
			.count();
		assertTrue(appends <= 12, "appends " + appends);
	}

	@Test
	public void foreignRecordsAreSkippedAndTold() {
		this.routers.log.write(STREAM,
				List.of(new RecordBody("claim.v9", new byte[1]),
						new RecordBody(ClaimCodec.CLAIM, "{\"claimKey\":\"key\"}".getBytes(StandardCharsets.UTF_8)),
						new RecordBody(ClaimCodec.CHECKPOINT, "null".getBytes(StandardCharsets.UTF_8))),
				this.routers.nowMillis);
		claim(A, "first");
		assertEquals(this.routers.events.size(), 3);
	}

	@Test
	public void flappingViewDoesNotReadWindowAgain() {
		claim(A, "first");
		this.routers.view(A, B);
		ask(A, "second");
		assertEquals(answer("second").verdict(), ClaimVerdict.NOT_OWNER);
		this.routers.view(A, A);
		this.routers.readable = false;
		ask(A, "third");
		assertEquals(answer("third").verdict(), ClaimVerdict.HELD_BY_OTHER);
		assertFalse(this.routers.answers.isEmpty());
	}

	private void claim(VmId owner, String attemptId) {
		ask(owner, attemptId);
		this.routers.pass(300);
		assertEquals(answer(attemptId).verdict(), ClaimVerdict.HELD);
		this.routers.answers.removeIf((answer) -> answer.attemptId().equals(attemptId));
	}

	private void ask(VmId owner, String attemptId) {
		this.routers.send(A, owner, askOf(attemptId, "body", this.routers.nowMillis + 5_000));
	}

	private static ClaimAsk askOf(String attemptId, String body, long deadlineMillis) {
		return askOf(attemptId, KEY, body, deadlineMillis);
	}

	static ClaimAsk askOf(String attemptId, String key, String body, long deadlineMillis) {
		return new ClaimAsk(new RequestId("request-" + attemptId), attemptId, key,
				body.getBytes(StandardCharsets.UTF_8), deadlineMillis);
	}

	private ClaimAnswer answer(String attemptId) {
		return this.routers.answers.stream()
			.filter((answer) -> answer.attemptId().equals(attemptId))
			.findFirst()
			.orElseThrow(() -> new AssertionError("no answer for " + attemptId));
	}

	private long answers(String attemptId) {
		return this.routers.answers.stream().filter((answer) -> answer.attemptId().equals(attemptId)).count();
	}

	private long records(String type) {
		return this.routers.log.records(STREAM).stream().filter((record) -> record.type().equals(type)).count();
	}

	private long claimsInLog(String attemptId) {
		return this.routers.log.read(STREAM, 1, Integer.MAX_VALUE / 2)
			.records()
			.stream()
			.filter((record) -> record.type().equals(ClaimCodec.CLAIM))
			.filter((record) -> new String(record.body(), StandardCharsets.UTF_8).contains(attemptId))
			.count();
	}

	private void passWithRetention(long millis) {
		long endMillis = this.routers.nowMillis + millis;
		while (this.routers.nowMillis < endMillis) {
			this.routers.pass(100);
			this.routers.log.cutBefore(this.routers.nowMillis - 4_000);
		}
	}

}
