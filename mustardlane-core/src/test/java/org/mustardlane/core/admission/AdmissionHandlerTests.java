package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.PollTarget;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link AdmissionHandler}.
 */
public class AdmissionHandlerTests {

	private static final VmId OTHER = new VmId("router-9");

	@Test
	public void grantsTheSameTargetToAReturningChat() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 4, 8);
		Set<TargetId> homes = new HashSet<>();
		for (int i = 0; i < 5; i++) {
			GrantAnswer answer = fixture.granted(fixture.newAsk(3));
			homes.add(answer.target().orElseThrow());
			fixture.release(answer);
		}
		assertEquals(homes.size(), 1);
	}

	@Test
	public void grantsNoTargetAboveItsSlots() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 2, 3);
		int granted = 0;
		for (int i = 0; i < 10; i++) {
			granted += fixture.ask(fixture.newAsk(i)).isPresent() ? 1 : 0;
		}
		assertEquals(granted, 6);
	}

	@Test
	public void releaseServesTheQueue() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		GrantAnswer first = fixture.granted(fixture.newAsk(1));
		GrantAsk second = fixture.newAsk(2);
		assertTrue(fixture.ask(second).isEmpty());
		fixture.release(first);
		assertEquals(fixture.answerTo(second).map(GrantAnswer::verdict), Optional.of(GrantVerdict.GRANTED));
	}

	@Test
	public void overflowGoesToAnotherShardOfTheSameOwner() {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.of(AdmissionPolicy.BOUNDED, 7));
		CatalogueSnapshot catalogue = AdmissionFixture.catalogue(8, 2, 8);
		fixture.take(new CatalogueChanged(catalogue));
		fixture.take(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF)));
		for (int target = 0; target < 8; target++) {
			fixture.report(target, 0, false);
		}
		fixture.advance(2000);
		int granted = 0;
		for (int request = 0; request < 64; request++) {
			GrantAsk ask = mayBeRedirected(fixture.newAsk(1));
			fixture.ask(ask);
			fixture.advance(100);
			ShardId answered = fixture.answerTo(ask).orElseThrow().shard();
			GrantVerdict verdict = fixture.ask(atShard(ask, answered)).orElseThrow().verdict();
			granted += (verdict == GrantVerdict.GRANTED) ? 1 : 0;
		}
		assertEquals(granted, 64);
	}

	private static GrantAsk mayBeRedirected(GrantAsk ask) {
		return new GrantAsk(ask.requestId(), ask.attempt(), ask.shard(), ask.entry(), ask.organisation(),
				ask.serviceClass(), ask.chatHash(), ask.deadlineMillis(), ask.expectedWorkMillis(),
				ask.excludedTargets(), false);
	}

	private static GrantAsk atShard(GrantAsk ask, ShardId shard) {
		return new GrantAsk(ask.requestId(), ask.attempt(), shard, ask.entry(), ask.organisation(), ask.serviceClass(),
				ask.chatHash(), ask.deadlineMillis(), ask.expectedWorkMillis(), ask.excludedTargets(), true);
	}

	@Test
	public void secondAskOfAnAttemptIsAnsweredAlikeAndGrantedOnce() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 2);
		GrantAsk ask = fixture.newAsk(1);
		assertEquals(fixture.granted(ask), fixture.granted(ask));
		assertTrue(fixture.ask(fixture.newAsk(2)).isPresent());
	}

	@Test
	public void withdrawnAskIsNeverGranted() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		GrantAnswer first = fixture.granted(fixture.newAsk(1));
		GrantAsk withdrawn = fixture.newAsk(2);
		fixture.ask(withdrawn);
		fixture.withdraw(withdrawn);
		fixture.release(first);
		assertTrue(fixture.answerTo(withdrawn).isEmpty());
	}

	@Test
	public void grantThatNobodyRenewsLapses() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.granted(fixture.newAsk(1));
		GrantAsk second = fixture.newAsk(2);
		fixture.ask(second);
		fixture.advance(3200);
		assertTrue(fixture.answerTo(second).isPresent());
	}

	@Test
	public void renewedGrantStays() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		GrantAnswer first = fixture.granted(fixture.newAsk(1));
		GrantAsk second = fixture.newAsk(2);
		fixture.ask(second);
		for (int i = 0; i < 6; i++) {
			fixture.advance(1000);
			fixture.receive(new GrantRenewal(AdmissionFixture.SHARD, List.of(held(first))));
		}
		assertTrue(fixture.answerTo(second).isEmpty());
	}

	private static HeldGrant held(GrantAnswer answer) {
		return new HeldGrant(answer.grantId(), answer.target().orElseThrow(), answer.requestId(), answer.attempt(),
				AdmissionFixture.ORGANISATION, ServiceClass.INTERACTIVE);
	}

	@Test
	public void answerThatCannotBeDeliveredFreesItsGrant() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		GrantAnswer first = fixture.granted(fixture.newAsk(1));
		fixture.take(new PeerUnreachable(OTHER, first));
		assertTrue(fixture.ask(fixture.newAsk(2)).isPresent());
	}

	@Test
	public void reportedLeavingTargetGetsNoNewGrant() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 2, 8);
		fixture.report(0, 0, true);
		for (int i = 0; i < 8; i++) {
			assertEquals(fixture.granted(fixture.newAsk(i)).target(), Optional.of(AdmissionFixture.target(1)));
		}
	}

	@Test
	public void listedLeavingTargetGetsNoNewGrantUntilItIsListedLive() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 8);
		fixture.take(new VmListRead(targetRow(VmState.LEAVING)));
		GrantAsk ask = fixture.newAsk(1);
		assertFalse(fixture.ask(ask).filter((answer) -> answer.verdict() == GrantVerdict.GRANTED).isPresent());
		fixture.take(new VmListRead(targetRow(VmState.LIVE)));
		assertEquals(fixture.granted(fixture.newAsk(1)).verdict(), GrantVerdict.GRANTED);
	}

	private static VmList targetRow(VmState state) {
		VmId vm = new VmId(AdmissionFixture.target(0).value());
		return new VmList(1, List.of(new VmEntry(vm, AdmissionFixture.DOMAIN, "127.0.0.1", 0, state)));
	}

	@Test
	public void lostShardHandsItsQueueBack() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.granted(fixture.newAsk(1));
		GrantAsk waiting = fixture.newAsk(2);
		fixture.ask(waiting);
		fixture.take(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, OTHER)));
		assertEquals(fixture.answerTo(waiting).map(GrantAnswer::verdict), Optional.of(GrantVerdict.NOT_OWNER));
		assertEquals(fixture.granted(fixture.newAsk(3)).verdict(), GrantVerdict.NOT_OWNER);
	}

	@Test
	public void drainingRouterHandsItsQueueBack() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.granted(fixture.newAsk(1));
		GrantAsk waiting = fixture.newAsk(2);
		fixture.ask(waiting);
		fixture.take(new DrainRequested(fixture.now() + 10_000));
		assertEquals(fixture.answerTo(waiting).map(GrantAnswer::verdict), Optional.of(GrantVerdict.NOT_OWNER));
	}

	@Test
	public void newOwnerGrantsOnlyWhatReportsShowToBeFree() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 4);
		fixture.take(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, OTHER)));
		fixture.take(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF)));
		assertTrue(fixture.ask(fixture.newAsk(1)).isEmpty());
		fixture.report(0, 3, false);
		assertEquals(fixture.answers().size(), 1);
		assertTrue(fixture.ask(fixture.newAsk(2)).isEmpty());
		fixture.advance(1600);
		assertEquals(fixture.answers().size(), 2);
	}

	@Test
	public void pollsEachTargetAboutOnceASecond() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 3, 4);
		fixture.otherActions().clear();
		fixture.advance(10_000);
		long polls = fixture.otherActions().stream().filter(PollTarget.class::isInstance).count();
		assertEquals(polls, 30);
	}

	@Test
	public void askThatCannotMeetItsDeadlineIsRefusedAtOnce() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.granted(fixture.newAsk(1));
		GrantAnswer answer = fixture.granted(fixture.newAsk(ServiceClass.INTERACTIVE, "org-1", 1, 100, 50));
		assertEquals(answer.verdict(), GrantVerdict.REFUSED);
		assertTrue(answer.retryAfterMillis() > 0);
	}

	@Test
	public void urgentWorkIsServedFirst() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		GrantAnswer first = fixture.granted(fixture.newAsk(1));
		GrantAsk bulk = fixture.newAsk(ServiceClass.BULK, "org-1", 2, 100, 10_000);
		GrantAsk urgent = fixture.newAsk(ServiceClass.URGENT, "org-1", 3, 100, 10_000);
		fixture.ask(bulk);
		fixture.ask(urgent);
		fixture.release(first);
		assertTrue(fixture.answerTo(urgent).isPresent());
		assertTrue(fixture.answerTo(bulk).isEmpty());
	}

	@Test
	public void quietOrganisationIsServedBeforeTheBacklogOfABusyOne() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		GrantAnswer running = fixture.granted(fixture.newAsk(1));
		for (int i = 0; i < 50; i++) {
			fixture.ask(fixture.newAsk(ServiceClass.INTERACTIVE, "org-1", i, 100, 10_000));
		}
		GrantAsk quiet = fixture.newAsk(ServiceClass.INTERACTIVE, "org-2", 1, 100, 10_000);
		fixture.ask(quiet);
		fixture.release(running);
		fixture.release(fixture.answers().get(1));
		assertTrue(fixture.answerTo(quiet).isPresent());
	}

	@Test
	public void bulkWorkLeavesRoomForShortWork() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 2, 8);
		fixture.release(fixture.granted(fixture.newAsk(1)));
		for (int i = 0; i < 30; i++) {
			fixture.ask(fixture.newAsk(ServiceClass.BULK, "org-1", i, 10_000, 100_000));
		}
		assertEquals(fixture.answers().size() - 1, 12);
		assertTrue(fixture.ask(fixture.newAsk(5)).isPresent());
	}

	@Test
	public void queueIsBoundedAndBulkWorkGivesWay() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.granted(fixture.newAsk(1));
		GrantAsk last = fixture.newAsk(1);
		for (int i = 0; i < 2048; i++) {
			last = fixture.newAsk(ServiceClass.BULK, "org-1", i, 1, 1_000_000);
			fixture.ask(last);
		}
		assertEquals(fixture.granted(fixture.newAsk(ServiceClass.BULK, "org-1", 1, 1, 1_000_000)).verdict(),
				GrantVerdict.REFUSED);
		assertTrue(fixture.ask(fixture.newAsk(ServiceClass.URGENT, "org-1", 1, 1, 1_000_000)).isEmpty());
		assertEquals(fixture.answerTo(last).map(GrantAnswer::verdict), Optional.of(GrantVerdict.REFUSED));
	}

	@Test
	public void refusedCallersAreSpreadOverTheTimeInWhichTheyCanBeServed() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.granted(fixture.newAsk(1));
		List<Long> returns = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			GrantAsk ask = fixture.newAsk(ServiceClass.INTERACTIVE, "org-1", i, 100, 500);
			fixture.ask(ask).ifPresent((answer) -> returns.add(answer.retryAfterMillis()));
		}
		assertTrue(returns.size() > 40, "refused " + returns.size());
		assertTrue(returns.get(returns.size() - 1) > 2500, "last return " + returns);
	}

	@Test
	public void organisationAtItsLimitWaitsForItsOwnRelease() {
		AdmissionFixture fixture = AdmissionFixture.warm(AdmissionPolicy.BOUNDED, 1, 8);
		GrantAnswer first = fixture.granted(fixture.newAsk(ServiceClass.INTERACTIVE, "org-9", 1, 100, 10_000));
		for (int i = 0; i < 3; i++) {
			fixture.granted(fixture.newAsk(ServiceClass.INTERACTIVE, "org-9", i, 100, 10_000));
		}
		GrantAsk fifth = fixture.newAsk(ServiceClass.INTERACTIVE, "org-9", 1, 100, 10_000);
		assertTrue(fixture.ask(fifth).isEmpty());
		assertTrue(fixture.ask(fixture.newAsk(ServiceClass.INTERACTIVE, "org-1", 1, 100, 10_000)).isPresent());
		fixture.release(first);
		assertTrue(fixture.answerTo(fifth).isPresent());
	}

	@Test
	public void fullShardRedirectsToOneThatHasRoom() {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.of(AdmissionPolicy.BOUNDED, 7));
		ShardId other = new ShardId(AdmissionFixture.POOL, new DomainId("d1"), 0);
		fixture.take(new CatalogueChanged(AdmissionFixture.catalogue(2, 2, 1)));
		fixture.take(new OwnershipChanged(new Ownership(AdmissionFixture.SELF, AdmissionFixture.DOMAIN,
				Map.of(AdmissionFixture.SELF, AdmissionFixture.DOMAIN, OTHER, other.domain()))));
		fixture.advance(1600);
		fixture.receive(new ShardLoad(other, 1, 0, 0, 1, 1));
		fixture.granted(fixture.newAsk(1));
		GrantAsk ask = fixture.newAsk(1);
		GrantAsk first = new GrantAsk(ask.requestId(), 1, ask.shard(), ask.entry(), ask.organisation(),
				ask.serviceClass(), ask.chatHash(), ask.deadlineMillis(), 1000, Set.of(), false);
		assertEquals(fixture.granted(first).verdict(), GrantVerdict.REDIRECTED);
		assertEquals(fixture.granted(first).shard(), other);
		assertTrue(fixture.ask(fixture.newAsk(1)).isEmpty());
	}

	@Test
	public void sendsItsLoadToTheOwnersOfTheOtherShards() {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.of(AdmissionPolicy.BOUNDED, 7));
		fixture.take(new CatalogueChanged(AdmissionFixture.catalogue(2, 2, 8)));
		fixture.take(new OwnershipChanged(new Ownership(AdmissionFixture.SELF, AdmissionFixture.DOMAIN,
				Map.of(AdmissionFixture.SELF, AdmissionFixture.DOMAIN, OTHER, new DomainId("d1")))));
		fixture.advance(10_000);
		long idle = loadsSent(fixture);
		assertTrue(idle >= 9 && idle <= 11, "idle " + idle);
		fixture.granted(fixture.newAsk(1));
		fixture.advance(60);
		assertEquals(loadsSent(fixture), idle + 1);
	}

	private static long loadsSent(AdmissionFixture fixture) {
		return fixture.otherActions()
			.stream()
			.filter((action) -> action instanceof SendPeer send && send.message() instanceof ShardLoad)
			.count();
	}

}
