package org.mustardlane.core.claim;

import java.util.Collections;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.StoredAnswer;
import org.mustardlane.core.model.common.RequestId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that {@link ClaimHandler} grants a key to at most one attempt.
 */
public class ClaimHandlerTests extends ClaimFixture {

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

}
