package org.mustardlane.core.claim;

import java.util.Collections;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.common.RequestId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that {@link ClaimHandler} grants a key to at most one attempt.
 */
public class ClaimHandlerTests extends ClaimFixture {

	@Test
	public void keyIsGrantedOnlyAfterClaimIsReadBack() {
		this.routers.isLogReadable = false;
		requestClaim(VM_A, "first");
		this.routers.advance(500);
		assertEquals(countRecords(ClaimCodec.CLAIM), 1);
		assertTrue(this.routers.replies.isEmpty());
		this.routers.isLogReadable = true;
		this.routers.advance(10);
		assertEquals(replyTo("first").verdict(), ClaimVerdict.HELD);
		assertEquals(replyTo("first").offset(), 1);
	}

	@Test
	public void twoConcurrentOwnersGrantKeyToOneAttempt() {
		this.routers.setLiveRouters(VM_B, VM_B);
		this.routers.advance(50);
		requestClaim(VM_A, "first");
		requestClaim(VM_B, "second");
		this.routers.advance(100);
		assertEquals(replyTo("first").verdict(), ClaimVerdict.HELD);
		assertEquals(replyTo("second").verdict(), ClaimVerdict.HELD_BY_OTHER);
		assertEquals(replyTo("second").holderVm().orElseThrow(), VM_A);
		assertEquals(replyTo("second").holderRequestId().orElseThrow(), new RequestId("request-first"));
	}

	@Test
	public void lostAppendReplyIsResolvedByReadingLog() {
		this.routers.appendFault = () -> FakeLog.Fault.LOST_REPLY;
		requestClaim(VM_A, "first");
		this.routers.advance(900);
		assertEquals(replyTo("first").verdict(), ClaimVerdict.HELD);
		assertEquals(countRecords(ClaimCodec.CLAIM), 1);
	}

	@DataProvider
	public Object[][] appendDelays() {
		return new Object[][] { { 1_200 }, { 5_000 }, { 19_000 } };
	}

	@Test(dataProvider = "appendDelays")
	public void delayedClaimIsVoidAndKeyCanBeClaimedAgain(long appendDelayMillis) {
		this.routers.appendDelayMillis = appendDelayMillis;
		this.routers.appendFault = () -> FakeLog.Fault.DELAYED;
		requestClaim(VM_A, "late");
		this.routers.advance(1_000);
		assertEquals(replyTo("late").verdict(), ClaimVerdict.UNAVAILABLE);
		this.routers.appendFault = () -> FakeLog.Fault.NONE;
		this.routers.advance(19_000);
		assertEquals(countRecords(ClaimCodec.CLAIM), 1);
		this.routers.setLiveRouters(VM_B, VM_B);
		this.routers.advance(50);
		requestClaim(VM_B, "retry");
		this.routers.advance(50);
		assertEquals(replyTo("retry").verdict(), ClaimVerdict.HELD);
		assertEquals(countReplies("late"), 1);
	}

	@Test
	public void newOwnerDecidesOnlyAfterReadingWholeWindow() {
		acquireKey(VM_A, "first");
		this.routers.log.write(STREAM, Collections.nCopies(120, ClaimCodec.createMarker()), this.routers.nowMillis);
		this.routers.isLogReadable = false;
		this.routers.setLiveRouters(VM_B, VM_B);
		requestClaim(VM_B, "second");
		this.routers.advance(500);
		assertTrue(this.routers.replies.isEmpty());
		assertEquals(countRecords(ClaimCodec.CLAIM), 1);
		this.routers.isLogReadable = true;
		this.routers.advance(50);
		assertEquals(replyTo("second").verdict(), ClaimVerdict.HELD_BY_OTHER);
		assertEquals(countRecords(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void newOwnerFindsClaimThatOldOwnerAppended() {
		this.routers.isLogReadable = false;
		requestClaim(VM_A, "first");
		this.routers.setFrozen(VM_A, true);
		this.routers.isLogReadable = true;
		this.routers.setLiveRouters(VM_B, VM_B);
		requestClaim(VM_B, "first");
		this.routers.advance(100);
		assertEquals(replyTo("first").verdict(), ClaimVerdict.HELD);
		assertEquals(countRecords(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void pausedOwnerDoesNotGrantKeyAfterDeadline() {
		this.routers.isLogReadable = false;
		requestClaim(VM_A, "first");
		this.routers.setFrozen(VM_A, true);
		this.routers.isLogReadable = true;
		this.routers.advance(15_000);
		this.routers.setFrozen(VM_A, false);
		this.routers.advance(100);
		assertEquals(replyTo("first").verdict(), ClaimVerdict.UNAVAILABLE);
		acquireKey(VM_A, "retry");
	}

	@Test
	public void releasedKeyCanBeClaimedAgain() {
		acquireKey(VM_A, "first");
		this.routers.send(VM_A, VM_A, new ClaimRelease(KEY, "first"));
		this.routers.advance(200);
		acquireKey(VM_A, "second");
	}

	@Test
	public void releaseSentToWrongOwnerTakesEffect() {
		acquireKey(VM_A, "first");
		this.routers.send(VM_A, VM_B, new ClaimRelease(KEY, "first"));
		this.routers.advance(200);
		acquireKey(VM_A, "second");
	}

	@Test
	public void releaseByAnotherRouterIsRefused() {
		acquireKey(VM_A, "first");
		this.routers.send(VM_B, VM_A, new ClaimRelease(KEY, "first"));
		this.routers.advance(200);
		assertEquals(countRecords(ClaimCodec.RELEASE), 0);
		assertEquals(this.routers.events.get(0).event().kind(), "claim-release-refused");
	}

	@Test
	public void differentBodyForSameKeyIsRejected() {
		acquireKey(VM_A, "first");
		this.routers.send(VM_B, VM_A, claimRequest("second", "other body", this.routers.nowMillis + 5_000));
		assertEquals(replyTo("second").verdict(), ClaimVerdict.BODY_DIFFERS);
	}

	@DataProvider
	public Object[][] responseSizes() {
		return new Object[][] { { 4_096, ClaimVerdict.COMPLETED }, { 4_097, ClaimVerdict.HELD_BY_OTHER } };
	}

	@Test(dataProvider = "responseSizes")
	public void newOwnerReturnsStoredResponseUpToSizeLimit(int bodyBytes, ClaimVerdict verdict) {
		acquireKey(VM_A, "first");
		StoredResponse response = new StoredResponse(200, "text/plain", new byte[bodyBytes]);
		this.routers.send(VM_A, VM_A, new ClaimCompletion(KEY, "first", response));
		this.routers.advance(200);
		this.routers.setLiveRouters(VM_B, VM_B);
		this.routers.advance(50);
		requestClaim(VM_B, "second");
		assertEquals(replyTo("second").verdict(), verdict);
		assertEquals(replyTo("second").response().map((stored) -> stored.body().length).orElse(4_097).intValue(),
				bodyBytes);
	}

}
