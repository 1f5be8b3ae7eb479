package org.mustardlane.core.execution;

import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.event.AbortAnswer;
import org.mustardlane.core.event.AttemptBytesReceived;
import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.AttemptHeadReceived;
import org.mustardlane.core.event.CancelAttempt;
import org.mustardlane.core.event.DrainFinished;
import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.FinishAnswer;
import org.mustardlane.core.event.ForwardAttempt;
import org.mustardlane.core.event.JoinAnswer;
import org.mustardlane.core.event.JoinEnded;
import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.RefuseRequest;
import org.mustardlane.core.event.RequestArrived;
import org.mustardlane.core.event.RequestCancelled;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.execution.AttemptKind;
import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.RefusalCode;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link RequestHandler}.
 */
public class RequestHandlerTests {

	private RequestHandlerFixture fixture;

	@BeforeMethod
	public void createFixture() {
		this.fixture = new RequestHandlerFixture();
	}

	@DataProvider
	public Object[][] rejectedRequests() {
		return new Object[][] {
				{ RequestHandlerFixture.request(RequestHandlerFixture.CHAT_ENTRY, "wrong", Optional.empty()),
						RefusalCode.UNAUTHORIZED },
				{ RequestHandlerFixture.request(new EntryName("none"), "secret", Optional.empty()),
						RefusalCode.UNKNOWN_ENTRY },
				{ RequestHandlerFixture.request(RequestHandlerFixture.RELEASE_ENTRY, "secret", Optional.empty()),
						RefusalCode.KEY_REQUIRED } };
	}

	@Test(dataProvider = "rejectedRequests")
	public void refusesInvalidRequestAsNotRun(CallerRequest request, RefusalCode code) {
		this.fixture.handle(new RequestArrived(RequestHandlerFixture.REQUEST, request), 0);
		assertRefused(Outcome.NOT_RUN, code);
	}

	@Test
	public void requestsGrantOnlyAfterClaimIsHeld() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY);
		assertTrue(this.fixture.requestsClaim());
		assertFalse(this.fixture.requestsGrant());
		this.fixture.replyToClaim(ClaimVerdict.HELD, Optional.empty());
		assertTrue(this.fixture.requestsGrant());
		assertEquals(this.fixture.grant(1, 5, RequestHandlerFixture.FIRST_TARGET)
			.findOnly(StartAttempt.class)
			.fencingNumber(), 7);
	}

	@Test
	public void refusesAsNotRunWhenClaimIsUnavailable() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.replyToClaim(ClaimVerdict.UNAVAILABLE, Optional.empty());
		assertRefused(Outcome.NOT_RUN, RefusalCode.LOG_UNAVAILABLE);
	}

	@Test
	public void releasesClaimWhenOwnerDoesNotReplyInTime() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS - 1);
		assertRefused(Outcome.NOT_RUN, RefusalCode.LOG_UNAVAILABLE);
		assertEquals(this.fixture.messages(ClaimRelease.class).count(), 1);
	}

	@Test
	public void ignoresClaimReplyAfterTimeout() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS - 1);
		this.fixture.replyToClaim(ClaimVerdict.HELD, Optional.empty());
		assertFalse(this.fixture.requestsGrant());
	}

	@Test
	public void releasesClaimWhenAdmissionRefuses() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.replyToClaim(ClaimVerdict.HELD, Optional.empty());
		this.fixture.refuseGrant(1);
		assertRefused(Outcome.NOT_RUN, RefusalCode.OVERLOADED);
		assertEquals(this.fixture.findOnly(RefuseRequest.class).refusal().retryAfterMillis(), 700);
		assertEquals(this.fixture.messages(ClaimRelease.class).count(), 1);
	}

	@Test
	public void reportsUnknownWithoutRetryWhenClaimedAttemptBreaks() {
		startReleaseRequest();
		this.fixture.handle(createAttemptEnded(1, AttemptResult.BROKEN), 50);
		assertRefused(Outcome.UNKNOWN, RefusalCode.TARGET_FAILED);
		assertFalse(this.fixture.requestsGrant());
		assertEquals(this.fixture.messages(ClaimRelease.class).count(), 0);
	}

	@DataProvider
	public Object[][] attemptEndsWithoutStart() {
		return new Object[][] { { AttemptResult.NOT_SENT }, { AttemptResult.UNREACHABLE }, { AttemptResult.REFUSED } };
	}

	@Test(dataProvider = "attemptEndsWithoutStart")
	public void retriesOnAnotherTargetWhenNothingWasStarted(AttemptResult result) {
		startReleaseRequest();
		this.fixture.handle(createAttemptEnded(1, result), 50);
		GrantRequest request = this.fixture.messages(GrantRequest.class).findAny().orElseThrow();
		assertTrue(request.excludedTargets().contains(RequestHandlerFixture.FIRST_TARGET));
	}

	@Test
	public void completesClaimWhenResponseIsComplete() {
		startReleaseRequest();
		this.fixture.handle(createAttemptEnded(1, AttemptResult.WHOLE), 50);
		assertEquals(this.fixture.actions(FinishAnswer.class).size(), 1);
		assertEquals(this.fixture.messages(ClaimCompletion.class).count(), 1);
		assertEquals(this.fixture.requestsInFlight(), 0);
	}

	@Test
	public void finishesClaimedAttemptAfterCallerDisconnects() {
		startReleaseRequest();
		this.fixture.handle(new RequestCancelled(RequestHandlerFixture.REQUEST), 10);
		assertEquals(this.fixture.actions(CancelAttempt.class).size(), 0);
		this.fixture.handle(createAttemptEnded(1, AttemptResult.WHOLE), 50);
		assertEquals(this.fixture.messages(ClaimCompletion.class).count(), 1);
	}

	@Test
	public void reportsUnknownAtDeadlineWhileAttemptRuns() {
		startReleaseRequest();
		this.fixture.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS);
		assertRefused(Outcome.UNKNOWN, RefusalCode.DEADLINE_PASSED);
	}

	@Test
	public void reportsNotRunAtDeadlineWhileQueued() {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY)
			.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS);
		assertRefused(Outcome.NOT_RUN, RefusalCode.DEADLINE_PASSED);
	}

	@Test
	public void joinsResponseOfEarlierClaim() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.replyToClaim(ClaimVerdict.HELD_BY_OTHER, Optional.of(RequestHandlerFixture.OTHER));
		assertEquals(this.fixture.findOnly(JoinAnswer.class).holderVm(), RequestHandlerFixture.OTHER);
		this.fixture.handle(new JoinEnded(RequestHandlerFixture.REQUEST, true, 10), 20);
		assertEquals(this.fixture.actions(FinishAnswer.class).size(), 1);
	}

	@Test
	public void reportsUnknownAtDeadlineAfterJoining() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.replyToClaim(ClaimVerdict.HELD_BY_OTHER, Optional.of(RequestHandlerFixture.OTHER));
		this.fixture.handle(new JoinEnded(RequestHandlerFixture.REQUEST, false, 0), 20);
		this.fixture.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS);
		assertRefused(Outcome.UNKNOWN, RefusalCode.DEADLINE_PASSED);
	}

	@Test
	public void reportsUnknownWhenLogIsUnavailableAfterJoining() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.replyToClaim(ClaimVerdict.HELD_BY_OTHER, Optional.of(RequestHandlerFixture.OTHER));
		this.fixture.handle(new JoinEnded(RequestHandlerFixture.REQUEST, false, 0), 20);
		this.fixture.replyToClaim(RequestHandlerFixture.REQUEST.value() + "/1", ClaimVerdict.UNAVAILABLE,
				Optional.empty());
		assertRefused(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE);
	}

	@Test
	public void retriesClaimWithNewAttemptIdAfterFailedJoin() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.replyToClaim(ClaimVerdict.HELD_BY_OTHER, Optional.of(RequestHandlerFixture.OTHER));
		this.fixture.handle(new JoinEnded(RequestHandlerFixture.REQUEST, false, 0), 20).handle(new Tick(), 300);
		ClaimRequest retry = this.fixture.messages(ClaimRequest.class).findAny().orElseThrow();
		assertNotEquals(retry.attemptId(), RequestHandlerFixture.REQUEST.value());
		this.fixture.replyToClaim(retry.attemptId(), ClaimVerdict.HELD, Optional.empty());
		assertTrue(this.fixture.requestsGrant());
	}

	@Test
	public void reportsUnknownAfterThreeFailedJoins() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY);
		for (int join = 0; join < 3; join++) {
			String attemptId = RequestHandlerFixture.REQUEST.value() + ((join > 0) ? "/" + join : "");
			this.fixture.replyToClaim(attemptId, ClaimVerdict.HELD_BY_OTHER, Optional.of(RequestHandlerFixture.OTHER));
			this.fixture.handle(new JoinEnded(RequestHandlerFixture.REQUEST, false, 0), 20);
		}
		assertRefused(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE);
	}

	@Test
	public void resumesBrokenStreamAtDeliveredOffset() {
		receiveBytes(30);
		this.fixture.handle(createAttemptEnded(1, AttemptResult.BROKEN), 50);
		StartAttempt resumed = this.fixture.findOnly(StartAttempt.class);
		assertEquals(resumed.kind(), AttemptKind.RESUME);
		assertEquals(resumed.offsetBytes(), 30);
		assertEquals(this.fixture.findOnly(ForwardAttempt.class).attempt(), resumed.attempt());
	}

	@Test
	public void continuesOnAnotherTargetWhenGenerationIsLost() {
		receiveBytes(30);
		this.fixture.handle(createAttemptEnded(1, AttemptResult.BROKEN), 50);
		this.fixture.handle(createAttemptEnded(2, AttemptResult.GENERATION_LOST), 60);
		assertTrue(this.fixture.requestsGrant());
		StartAttempt continued = this.fixture.grant(3, 6, RequestHandlerFixture.SECOND_TARGET)
			.findOnly(StartAttempt.class);
		assertEquals(continued.kind(), AttemptKind.CONTINUE);
		assertEquals(continued.offsetBytes(), 30);
	}

	@Test
	public void continuesOnAnotherTargetWhenResumeReceivesNoBytes() {
		receiveBytes(30);
		this.fixture.handle(createAttemptEnded(1, AttemptResult.BROKEN), 50);
		this.fixture.handle(createAttemptEnded(2, AttemptResult.BROKEN), 60);
		assertTrue(this.fixture.requestsGrant());
	}

	@Test
	public void continuesOnAnotherTargetWhenStreamIsIdle() {
		receiveBytes(30);
		this.fixture.handle(createAttemptEnded(1, AttemptResult.SILENT), 50);
		assertTrue(this.fixture.requestsGrant());
		assertEquals(this.fixture.grant(2, 6, RequestHandlerFixture.SECOND_TARGET).findOnly(StartAttempt.class).kind(),
				AttemptKind.CONTINUE);
	}

	@Test
	public void restartsWhenCallerReceivedNothingOfBrokenResponse() {
		receiveBytes(30);
		this.fixture.handle(createAttemptEnded(1, AttemptResult.BROKEN_UNSEEN), 50);
		StartAttempt retry = this.fixture.grant(2, 6, RequestHandlerFixture.SECOND_TARGET).findOnly(StartAttempt.class);
		assertEquals(retry.kind(), AttemptKind.FRESH);
	}

	@Test
	public void abortsResponseAtDeadlineDuringStream() {
		receiveBytes(30);
		this.fixture.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS);
		assertEquals(this.fixture.actions(AbortAnswer.class).size(), 1);
		assertEquals(this.fixture.actions(FinishAnswer.class).size(), 0);
	}

	@Test
	public void releasesGrantReceivedAfterDeadline() {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY)
			.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS);
		this.fixture.grant(1, 5, RequestHandlerFixture.FIRST_TARGET);
		assertEquals(this.fixture.messages(GrantRelease.class).findAny().orElseThrow().cause(), ReleaseCause.UNUSED);
		assertEquals(this.fixture.actions(StartAttempt.class).size(), 0);
	}

	@Test
	public void requestsGrantFromNewOwnerWhenOwnershipChanges() {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY).setOwner(RequestHandlerFixture.SELF);
		assertTrue(this.fixture.requestsGrant());
		assertEquals(this.fixture.findOnly(SendPeer.class).peer(), RequestHandlerFixture.SELF);
	}

	@Test
	public void retriesGrantRequestWhenOwnerIsUnreachable() {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY);
		GrantRequest request = this.fixture.messages(GrantRequest.class).findAny().orElseThrow();
		this.fixture.handle(new PeerUnreachable(RequestHandlerFixture.OTHER, request), 10).handle(new Tick(), 100);
		assertTrue(this.fixture.requestsGrant());
	}

	@Test
	public void renewsHeldGrants() {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY)
			.grant(1, 5, RequestHandlerFixture.FIRST_TARGET)
			.handle(new Tick(), 2000);
		assertEquals(this.fixture.messages(GrantRenewal.class).findAny().orElseThrow().grants().size(), 1);
	}

	@Test
	public void releasesGrantAsFailedWhenTargetIsUnreachable() {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY)
			.grant(1, 5, RequestHandlerFixture.FIRST_TARGET)
			.handle(createAttemptEnded(1, AttemptResult.UNREACHABLE), 20);
		assertEquals(this.fixture.messages(GrantRelease.class).findAny().orElseThrow().cause(), ReleaseCause.FAILED);
	}

	@Test
	public void retriesAllTargetsOnceAllHaveFailed() {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY)
			.grant(1, 5, RequestHandlerFixture.FIRST_TARGET)
			.handle(createAttemptEnded(1, AttemptResult.UNREACHABLE), 20);
		this.fixture.grant(2, 6, RequestHandlerFixture.SECOND_TARGET)
			.handle(createAttemptEnded(2, AttemptResult.UNREACHABLE), 30);
		assertTrue(this.fixture.messages(GrantRequest.class).findAny().orElseThrow().excludedTargets().isEmpty());
	}

	@Test
	public void finishesDrainAfterIdlePeriod() {
		this.fixture.handle(new DrainRequested(60_000), 1000).handle(new Tick(), 2000);
		assertEquals(this.fixture.actions(DrainFinished.class).size(), 0);
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY).handle(new Tick(), 4000);
		assertEquals(this.fixture.actions(DrainFinished.class).size(), 0);
		this.fixture.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS)
			.handle(new Tick(), RequestHandlerFixture.RESPONSE_LIMIT_MILLIS + 2000);
		assertEquals(this.fixture.actions(DrainFinished.class).size(), 1);
	}

	@Test
	public void finishesDrainAtDeadline() {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY)
			.handle(new DrainRequested(3000), 1000)
			.handle(new Tick(), 3000);
		assertEquals(this.fixture.actions(DrainFinished.class).size(), 1);
	}

	private void startReleaseRequest() {
		this.fixture.receiveRequest(RequestHandlerFixture.RELEASE_ENTRY)
			.replyToClaim(ClaimVerdict.HELD, Optional.empty());
		this.fixture.grant(1, 5, RequestHandlerFixture.FIRST_TARGET);
	}

	private void receiveBytes(long bytes) {
		this.fixture.receiveRequest(RequestHandlerFixture.CHAT_ENTRY).grant(1, 5, RequestHandlerFixture.FIRST_TARGET);
		this.fixture.handle(new AttemptHeadReceived(RequestHandlerFixture.REQUEST, 1, 200, Optional.of("g-1")), 20);
		assertEquals(this.fixture.actions(ForwardAttempt.class).size(), 1);
		this.fixture.handle(new AttemptBytesReceived(RequestHandlerFixture.REQUEST, 1, bytes), 30);
	}

	private static AttemptEnded createAttemptEnded(int attempt, AttemptResult result) {
		return new AttemptEnded(RequestHandlerFixture.REQUEST, attempt, result, "", Optional.empty());
	}

	private void assertRefused(Outcome outcome, RefusalCode code) {
		RefuseRequest refused = this.fixture.findOnly(RefuseRequest.class);
		assertEquals(refused.refusal().outcome(), outcome);
		assertEquals(refused.refusal().code(), code);
	}

}
