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
import org.mustardlane.core.message.ClaimAsk;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.execution.AttemptEnd;
import org.mustardlane.core.model.execution.AttemptKind;
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

	private FlowFixture fleet;

	@BeforeMethod
	public void createTable() {
		this.fleet = new FlowFixture();
	}

	@DataProvider
	public Object[][] badRequests() {
		return new Object[][] {
				{ FlowFixture.request(FlowFixture.CHAT, "wrong", Optional.empty()), RefusalCode.UNAUTHORIZED },
				{ FlowFixture.request(new EntryName("none"), "secret", Optional.empty()), RefusalCode.UNKNOWN_ENTRY },
				{ FlowFixture.request(FlowFixture.RELEASE, "secret", Optional.empty()), RefusalCode.KEY_REQUIRED } };
	}

	@Test(dataProvider = "badRequests")
	public void refusesBadRequestAsNotRun(CallerRequest request, RefusalCode code) {
		this.fleet.handle(new RequestArrived(FlowFixture.REQUEST, request), 0);
		assertRefused(Outcome.NOT_RUN, code);
	}

	@Test
	public void sendsClaimedWorkOnlyAfterClaimIsHeld() {
		this.fleet.arrive(FlowFixture.RELEASE);
		assertTrue(this.fleet.asksClaim());
		assertFalse(this.fleet.asksGrant());
		this.fleet.answerClaim(ClaimVerdict.HELD, Optional.empty());
		assertTrue(this.fleet.asksGrant());
		assertEquals(this.fleet.grant(1, 5, FlowFixture.FIRST).only(StartAttempt.class).fencingNumber(), 7);
	}

	@Test
	public void refusesAsNotRunWhenClaimIsUnavailable() {
		this.fleet.arrive(FlowFixture.RELEASE).answerClaim(ClaimVerdict.UNAVAILABLE, Optional.empty());
		assertRefused(Outcome.NOT_RUN, RefusalCode.LOG_UNAVAILABLE);
	}

	@Test
	public void releasesClaimWhenPatienceEndsWithoutAnswer() {
		this.fleet.arrive(FlowFixture.RELEASE).handle(new Tick(), FlowFixture.LIMIT_MILLIS - 1);
		assertRefused(Outcome.NOT_RUN, RefusalCode.LOG_UNAVAILABLE);
		assertEquals(this.fleet.messages(ClaimRelease.class).count(), 1);
	}

	@Test
	public void neverStartsUnderClaimAnsweredAfterGivingUp() {
		this.fleet.arrive(FlowFixture.RELEASE).handle(new Tick(), FlowFixture.LIMIT_MILLIS - 1);
		this.fleet.answerClaim(ClaimVerdict.HELD, Optional.empty());
		assertFalse(this.fleet.asksGrant());
	}

	@Test
	public void releasesClaimWhenAdmissionRefuses() {
		this.fleet.arrive(FlowFixture.RELEASE).answerClaim(ClaimVerdict.HELD, Optional.empty());
		this.fleet.refuseGrant(1);
		assertRefused(Outcome.NOT_RUN, RefusalCode.OVERLOADED);
		assertEquals(this.fleet.only(RefuseRequest.class).refusal().retryAfterMillis(), 700);
		assertEquals(this.fleet.messages(ClaimRelease.class).count(), 1);
	}

	@Test
	public void saysUnknownAndNeverRepeatsWhenClaimedWorkBreaks() {
		startRelease();
		this.fleet.handle(ended(1, AttemptEnd.BROKEN), 50);
		assertRefused(Outcome.UNKNOWN, RefusalCode.TARGET_FAILED);
		assertFalse(this.fleet.asksGrant());
		assertEquals(this.fleet.messages(ClaimRelease.class).count(), 0);
	}

	@DataProvider
	public Object[][] endsWithoutStart() {
		return new Object[][] { { AttemptEnd.NOT_SENT }, { AttemptEnd.UNREACHABLE }, { AttemptEnd.REFUSED } };
	}

	@Test(dataProvider = "endsWithoutStart")
	public void triesAnotherTargetWhenNothingWasStarted(AttemptEnd end) {
		startRelease();
		this.fleet.handle(ended(1, end), 50);
		GrantAsk ask = this.fleet.messages(GrantAsk.class).findAny().orElseThrow();
		assertTrue(ask.excludedTargets().contains(FlowFixture.FIRST));
	}

	@Test
	public void completesClaimWithWholeAnswer() {
		startRelease();
		this.fleet.handle(ended(1, AttemptEnd.WHOLE), 50);
		assertEquals(this.fleet.actions(FinishAnswer.class).size(), 1);
		assertEquals(this.fleet.messages(ClaimCompletion.class).count(), 1);
		assertEquals(this.fleet.inFlight(), 0);
	}

	@Test
	public void finishesClaimedWorkWhoseCallerHasGone() {
		startRelease();
		this.fleet.handle(new RequestCancelled(FlowFixture.REQUEST), 10);
		assertEquals(this.fleet.actions(CancelAttempt.class).size(), 0);
		this.fleet.handle(ended(1, AttemptEnd.WHOLE), 50);
		assertEquals(this.fleet.messages(ClaimCompletion.class).count(), 1);
	}

	@Test
	public void saysUnknownAtDeadlineWhileAttemptRuns() {
		startRelease();
		this.fleet.handle(new Tick(), FlowFixture.LIMIT_MILLIS);
		assertRefused(Outcome.UNKNOWN, RefusalCode.DEADLINE_PASSED);
	}

	@Test
	public void saysNotRunAtDeadlineWhileQueued() {
		this.fleet.arrive(FlowFixture.CHAT).handle(new Tick(), FlowFixture.LIMIT_MILLIS);
		assertRefused(Outcome.NOT_RUN, RefusalCode.DEADLINE_PASSED);
	}

	@Test
	public void joinsAnswerOfEarlierClaim() {
		this.fleet.arrive(FlowFixture.RELEASE).answerClaim(ClaimVerdict.HELD_BY_OTHER, Optional.of(FlowFixture.OTHER));
		assertEquals(this.fleet.only(JoinAnswer.class).holderVm(), FlowFixture.OTHER);
		this.fleet.handle(new JoinEnded(FlowFixture.REQUEST, true, 10), 20);
		assertEquals(this.fleet.actions(FinishAnswer.class).size(), 1);
	}

	@Test
	public void saysUnknownAtDeadlineAfterJoining() {
		this.fleet.arrive(FlowFixture.RELEASE).answerClaim(ClaimVerdict.HELD_BY_OTHER, Optional.of(FlowFixture.OTHER));
		this.fleet.handle(new JoinEnded(FlowFixture.REQUEST, false, 0), 20);
		this.fleet.handle(new Tick(), FlowFixture.LIMIT_MILLIS);
		assertRefused(Outcome.UNKNOWN, RefusalCode.DEADLINE_PASSED);
	}

	@Test
	public void saysUnknownWhenLogIsUnavailableAfterJoining() {
		this.fleet.arrive(FlowFixture.RELEASE).answerClaim(ClaimVerdict.HELD_BY_OTHER, Optional.of(FlowFixture.OTHER));
		this.fleet.handle(new JoinEnded(FlowFixture.REQUEST, false, 0), 20);
		this.fleet.answerClaim(FlowFixture.REQUEST.value() + "/1", ClaimVerdict.UNAVAILABLE, Optional.empty());
		assertRefused(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE);
	}

	@Test
	public void asksAsNewAttemptAfterFailedJoin() {
		this.fleet.arrive(FlowFixture.RELEASE).answerClaim(ClaimVerdict.HELD_BY_OTHER, Optional.of(FlowFixture.OTHER));
		this.fleet.handle(new JoinEnded(FlowFixture.REQUEST, false, 0), 20).handle(new Tick(), 300);
		ClaimAsk again = this.fleet.messages(ClaimAsk.class).findAny().orElseThrow();
		assertNotEquals(again.attemptId(), FlowFixture.REQUEST.value());
		this.fleet.answerClaim(again.attemptId(), ClaimVerdict.HELD, Optional.empty());
		assertTrue(this.fleet.asksGrant());
	}

	@Test
	public void saysUnknownAtOnceWhenHolderStaysGone() {
		this.fleet.arrive(FlowFixture.RELEASE);
		for (int join = 0; join < 3; join++) {
			String attemptId = FlowFixture.REQUEST.value() + ((join > 0) ? "/" + join : "");
			this.fleet.answerClaim(attemptId, ClaimVerdict.HELD_BY_OTHER, Optional.of(FlowFixture.OTHER));
			this.fleet.handle(new JoinEnded(FlowFixture.REQUEST, false, 0), 20);
		}
		assertRefused(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE);
	}

	@Test
	public void resumesBrokenStreamAtItsOffset() {
		streamBytes(30);
		this.fleet.handle(ended(1, AttemptEnd.BROKEN), 50);
		StartAttempt resumed = this.fleet.only(StartAttempt.class);
		assertEquals(resumed.kind(), AttemptKind.RESUME);
		assertEquals(resumed.offsetBytes(), 30);
		assertEquals(this.fleet.only(ForwardAttempt.class).attempt(), resumed.attempt());
	}

	@Test
	public void continuesElsewhereWhenGenerationIsLost() {
		streamBytes(30);
		this.fleet.handle(ended(1, AttemptEnd.BROKEN), 50);
		this.fleet.handle(ended(2, AttemptEnd.GENERATION_LOST), 60);
		assertTrue(this.fleet.asksGrant());
		StartAttempt continued = this.fleet.grant(3, 6, FlowFixture.SECOND).only(StartAttempt.class);
		assertEquals(continued.kind(), AttemptKind.CONTINUE);
		assertEquals(continued.offsetBytes(), 30);
	}

	@Test
	public void continuesElsewhereWhenResumeGivesNothing() {
		streamBytes(30);
		this.fleet.handle(ended(1, AttemptEnd.BROKEN), 50);
		this.fleet.handle(ended(2, AttemptEnd.BROKEN), 60);
		assertTrue(this.fleet.asksGrant());
	}

	@Test
	public void continuesElsewhereWhenStreamFallsSilent() {
		streamBytes(30);
		this.fleet.handle(ended(1, AttemptEnd.SILENT), 50);
		assertTrue(this.fleet.asksGrant());
		assertEquals(this.fleet.grant(2, 6, FlowFixture.SECOND).only(StartAttempt.class).kind(), AttemptKind.CONTINUE);
	}

	@Test
	public void startsOverWhenNothingOfABrokenAnswerWasSeen() {
		streamBytes(30);
		this.fleet.handle(ended(1, AttemptEnd.BROKEN_UNSEEN), 50);
		StartAttempt again = this.fleet.grant(2, 6, FlowFixture.SECOND).only(StartAttempt.class);
		assertEquals(again.kind(), AttemptKind.FRESH);
	}

	@Test
	public void breaksAnswerVisiblyAtDeadlineInMidStream() {
		streamBytes(30);
		this.fleet.handle(new Tick(), FlowFixture.LIMIT_MILLIS);
		assertEquals(this.fleet.actions(AbortAnswer.class).size(), 1);
		assertEquals(this.fleet.actions(FinishAnswer.class).size(), 0);
	}

	@Test
	public void returnsGrantThatComesTooLate() {
		this.fleet.arrive(FlowFixture.CHAT).handle(new Tick(), FlowFixture.LIMIT_MILLIS);
		this.fleet.grant(1, 5, FlowFixture.FIRST);
		assertEquals(this.fleet.messages(GrantRelease.class).findAny().orElseThrow().cause(), ReleaseCause.UNUSED);
		assertEquals(this.fleet.actions(StartAttempt.class).size(), 0);
	}

	@Test
	public void asksNewOwnerWhenOwnershipChanges() {
		this.fleet.arrive(FlowFixture.CHAT).own(FlowFixture.SELF);
		assertTrue(this.fleet.asksGrant());
		assertEquals(this.fleet.only(SendPeer.class).peer(), FlowFixture.SELF);
	}

	@Test
	public void asksAgainWhenOwnerIsUnreachable() {
		this.fleet.arrive(FlowFixture.CHAT);
		GrantAsk ask = this.fleet.messages(GrantAsk.class).findAny().orElseThrow();
		this.fleet.handle(new PeerUnreachable(FlowFixture.OTHER, ask), 10).handle(new Tick(), 100);
		assertTrue(this.fleet.asksGrant());
	}

	@Test
	public void renewsHeldGrants() {
		this.fleet.arrive(FlowFixture.CHAT).grant(1, 5, FlowFixture.FIRST).handle(new Tick(), 2000);
		assertEquals(this.fleet.messages(GrantRenewal.class).findAny().orElseThrow().grants().size(), 1);
	}

	@Test
	public void blamesTargetThatCanNotBeReached() {
		this.fleet.arrive(FlowFixture.CHAT).grant(1, 5, FlowFixture.FIRST).handle(ended(1, AttemptEnd.UNREACHABLE), 20);
		assertEquals(this.fleet.messages(GrantRelease.class).findAny().orElseThrow().cause(), ReleaseCause.FAILED);
	}

	@Test
	public void triesTargetsAgainOnceAllHaveFailed() {
		this.fleet.arrive(FlowFixture.CHAT).grant(1, 5, FlowFixture.FIRST).handle(ended(1, AttemptEnd.UNREACHABLE), 20);
		this.fleet.grant(2, 6, FlowFixture.SECOND).handle(ended(2, AttemptEnd.UNREACHABLE), 30);
		assertTrue(this.fleet.messages(GrantAsk.class).findAny().orElseThrow().excludedTargets().isEmpty());
	}

	@Test
	public void drainsOnceNoRequestHasComeForAWhile() {
		this.fleet.handle(new DrainRequested(60_000), 1000).handle(new Tick(), 2000);
		assertEquals(this.fleet.actions(DrainFinished.class).size(), 0);
		this.fleet.arrive(FlowFixture.CHAT).handle(new Tick(), 4000);
		assertEquals(this.fleet.actions(DrainFinished.class).size(), 0);
		this.fleet.handle(new Tick(), FlowFixture.LIMIT_MILLIS).handle(new Tick(), FlowFixture.LIMIT_MILLIS + 2000);
		assertEquals(this.fleet.actions(DrainFinished.class).size(), 1);
	}

	@Test
	public void drainsAtDeadlineAtTheLatest() {
		this.fleet.arrive(FlowFixture.CHAT).handle(new DrainRequested(3000), 1000).handle(new Tick(), 3000);
		assertEquals(this.fleet.actions(DrainFinished.class).size(), 1);
	}

	private void startRelease() {
		this.fleet.arrive(FlowFixture.RELEASE).answerClaim(ClaimVerdict.HELD, Optional.empty());
		this.fleet.grant(1, 5, FlowFixture.FIRST);
	}

	private void streamBytes(long bytes) {
		this.fleet.arrive(FlowFixture.CHAT).grant(1, 5, FlowFixture.FIRST);
		this.fleet.handle(new AttemptHeadReceived(FlowFixture.REQUEST, 1, 200, Optional.of("g-1")), 20);
		assertEquals(this.fleet.actions(ForwardAttempt.class).size(), 1);
		this.fleet.handle(new AttemptBytesReceived(FlowFixture.REQUEST, 1, bytes), 30);
	}

	private static AttemptEnded ended(int attempt, AttemptEnd end) {
		return new AttemptEnded(FlowFixture.REQUEST, attempt, end, "", Optional.empty());
	}

	private void assertRefused(Outcome outcome, RefusalCode code) {
		RefuseRequest refused = this.fleet.only(RefuseRequest.class);
		assertEquals(refused.refusal().outcome(), outcome);
		assertEquals(refused.refusal().code(), code);
	}

}
