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
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
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

	private static final VmId OTHER_ROUTER = new VmId("router-9");

	@Test
	public void returningChatGetsTheSameTarget() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 4, 8);
		Set<TargetId> chosenTargets = new HashSet<>();
		for (int i = 0; i < 5; i++) {
			GrantReply reply = fixture.submitForReply(fixture.newRequest(3));
			chosenTargets.add(reply.target().orElseThrow());
			fixture.release(reply);
		}
		assertEquals(chosenTargets.size(), 1);
	}

	@Test
	public void grantsNeverExceedTheSlotsOfATarget() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 2, 3);
		int granted = 0;
		for (int i = 0; i < 10; i++) {
			granted += fixture.submit(fixture.newRequest(i)).isPresent() ? 1 : 0;
		}
		assertEquals(granted, 6);
	}

	@Test
	public void releaseGrantsAQueuedRequest() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		GrantReply firstReply = fixture.submitForReply(fixture.newRequest(1));
		GrantRequest secondRequest = fixture.newRequest(2);
		assertTrue(fixture.submit(secondRequest).isEmpty());
		fixture.release(firstReply);
		assertEquals(fixture.replyTo(secondRequest).map(GrantReply::verdict), Optional.of(GrantVerdict.GRANTED));
	}

	@Test
	public void overflowIsRedirectedToAnotherShardOfTheSameOwner() {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.defaults(AdmissionPolicy.BOUNDED, 7));
		CatalogueSnapshot catalogue = AdmissionFixture.catalogue(8, 2, 8);
		fixture.handle(new CatalogueChanged(catalogue));
		fixture.handle(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF)));
		for (int targetIndex = 0; targetIndex < 8; targetIndex++) {
			fixture.reportLoad(targetIndex, 0, false);
		}
		fixture.advance(2000);
		int granted = 0;
		for (int i = 0; i < 64; i++) {
			GrantRequest grantRequest = withoutQueueing(fixture.newRequest(1));
			fixture.submit(grantRequest);
			fixture.advance(100);
			ShardId replyShard = fixture.replyTo(grantRequest).orElseThrow().shard();
			GrantVerdict verdict = fixture.submit(atShard(grantRequest, replyShard)).orElseThrow().verdict();
			granted += (verdict == GrantVerdict.GRANTED) ? 1 : 0;
		}
		assertEquals(granted, 64);
	}

	private static GrantRequest withoutQueueing(GrantRequest grantRequest) {
		return new GrantRequest(grantRequest.requestId(), grantRequest.attempt(), grantRequest.shard(),
				grantRequest.entry(), grantRequest.organisation(), grantRequest.serviceClass(), grantRequest.chatHash(),
				grantRequest.deadlineMillis(), grantRequest.expectedWorkMillis(), grantRequest.excludedTargets(),
				false);
	}

	private static GrantRequest atShard(GrantRequest grantRequest, ShardId shard) {
		return new GrantRequest(grantRequest.requestId(), grantRequest.attempt(), shard, grantRequest.entry(),
				grantRequest.organisation(), grantRequest.serviceClass(), grantRequest.chatHash(),
				grantRequest.deadlineMillis(), grantRequest.expectedWorkMillis(), grantRequest.excludedTargets(), true);
	}

	@Test
	public void duplicateRequestGetsTheSameGrant() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 2);
		GrantRequest grantRequest = fixture.newRequest(1);
		assertEquals(fixture.submitForReply(grantRequest), fixture.submitForReply(grantRequest));
		assertTrue(fixture.submit(fixture.newRequest(2)).isPresent());
	}

	@Test
	public void withdrawnRequestIsNeverGranted() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		GrantReply firstReply = fixture.submitForReply(fixture.newRequest(1));
		GrantRequest withdrawnRequest = fixture.newRequest(2);
		fixture.submit(withdrawnRequest);
		fixture.withdraw(withdrawnRequest);
		fixture.release(firstReply);
		assertTrue(fixture.replyTo(withdrawnRequest).isEmpty());
	}

	@Test
	public void grantExpiresWithoutRenewal() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.submitForReply(fixture.newRequest(1));
		GrantRequest secondRequest = fixture.newRequest(2);
		fixture.submit(secondRequest);
		fixture.advance(3200);
		assertTrue(fixture.replyTo(secondRequest).isPresent());
	}

	@Test
	public void renewedGrantDoesNotExpire() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		GrantReply firstReply = fixture.submitForReply(fixture.newRequest(1));
		GrantRequest secondRequest = fixture.newRequest(2);
		fixture.submit(secondRequest);
		for (int i = 0; i < 6; i++) {
			fixture.advance(1000);
			fixture.receive(new GrantRenewal(AdmissionFixture.SHARD, List.of(heldGrant(firstReply))));
		}
		assertTrue(fixture.replyTo(secondRequest).isEmpty());
	}

	private static HeldGrant heldGrant(GrantReply reply) {
		return new HeldGrant(reply.grantId(), reply.target().orElseThrow(), reply.requestId(), reply.attempt(),
				AdmissionFixture.ORGANISATION, ServiceClass.INTERACTIVE);
	}

	@Test
	public void undeliverableReplyReleasesItsGrant() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		GrantReply firstReply = fixture.submitForReply(fixture.newRequest(1));
		fixture.handle(new PeerUnreachable(OTHER_ROUTER, firstReply));
		assertTrue(fixture.submit(fixture.newRequest(2)).isPresent());
	}

	@Test
	public void targetReportedLeavingGetsNoNewGrant() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 2, 8);
		fixture.reportLoad(0, 0, true);
		for (int i = 0; i < 8; i++) {
			assertEquals(fixture.submitForReply(fixture.newRequest(i)).target(),
					Optional.of(AdmissionFixture.target(1)));
		}
	}

	@Test
	public void targetListedLeavingGetsNoNewGrantUntilListedLive() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 8);
		fixture.handle(new VmListRead(vmListWithTarget(VmState.LEAVING)));
		GrantRequest grantRequest = fixture.newRequest(1);
		assertFalse(
				fixture.submit(grantRequest).filter((reply) -> reply.verdict() == GrantVerdict.GRANTED).isPresent());
		fixture.handle(new VmListRead(vmListWithTarget(VmState.LIVE)));
		assertEquals(fixture.submitForReply(fixture.newRequest(1)).verdict(), GrantVerdict.GRANTED);
	}

	private static VmList vmListWithTarget(VmState state) {
		VmId vm = new VmId(AdmissionFixture.target(0).value());
		return new VmList(1, List.of(new VmEntry(vm, AdmissionFixture.DOMAIN, "127.0.0.1", 0, state)));
	}

	@Test
	public void lostShardReturnsQueuedRequests() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.submitForReply(fixture.newRequest(1));
		GrantRequest queuedRequest = fixture.newRequest(2);
		fixture.submit(queuedRequest);
		fixture.handle(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, OTHER_ROUTER)));
		assertEquals(fixture.replyTo(queuedRequest).map(GrantReply::verdict), Optional.of(GrantVerdict.NOT_OWNER));
		assertEquals(fixture.submitForReply(fixture.newRequest(3)).verdict(), GrantVerdict.NOT_OWNER);
	}

	@Test
	public void drainingRouterReturnsQueuedRequests() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.submitForReply(fixture.newRequest(1));
		GrantRequest queuedRequest = fixture.newRequest(2);
		fixture.submit(queuedRequest);
		fixture.handle(new DrainRequested(fixture.nowMillis() + 10_000));
		assertEquals(fixture.replyTo(queuedRequest).map(GrantReply::verdict), Optional.of(GrantVerdict.NOT_OWNER));
	}

	@Test
	public void newOwnerGrantsOnlySlotsReportedFree() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 4);
		fixture.handle(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, OTHER_ROUTER)));
		fixture.handle(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF)));
		assertTrue(fixture.submit(fixture.newRequest(1)).isEmpty());
		fixture.reportLoad(0, 3, false);
		assertEquals(fixture.replies().size(), 1);
		assertTrue(fixture.submit(fixture.newRequest(2)).isEmpty());
		fixture.advance(1600);
		assertEquals(fixture.replies().size(), 2);
	}

	@Test
	public void pollsEachTargetAboutOnceASecond() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 3, 4);
		fixture.otherActions().clear();
		fixture.advance(10_000);
		long polls = fixture.otherActions().stream().filter(PollTarget.class::isInstance).count();
		assertEquals(polls, 30);
	}

	@Test
	public void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.submitForReply(fixture.newRequest(1));
		GrantReply reply = fixture.submitForReply(fixture.newRequest(ServiceClass.INTERACTIVE, "org-1", 1, 100, 50));
		assertEquals(reply.verdict(), GrantVerdict.REFUSED);
		assertTrue(reply.retryAfterMillis() > 0);
	}

	@Test
	public void urgentRequestIsGrantedBeforeBulkRequest() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		GrantReply firstReply = fixture.submitForReply(fixture.newRequest(1));
		GrantRequest bulkRequest = fixture.newRequest(ServiceClass.BULK, "org-1", 2, 100, 10_000);
		GrantRequest urgentRequest = fixture.newRequest(ServiceClass.URGENT, "org-1", 3, 100, 10_000);
		fixture.submit(bulkRequest);
		fixture.submit(urgentRequest);
		fixture.release(firstReply);
		assertTrue(fixture.replyTo(urgentRequest).isPresent());
		assertTrue(fixture.replyTo(bulkRequest).isEmpty());
	}

	@Test
	public void quietOrganisationIsGrantedBeforeTheBacklogOfABusyOne() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		GrantReply runningReply = fixture.submitForReply(fixture.newRequest(1));
		for (int i = 0; i < 50; i++) {
			fixture.submit(fixture.newRequest(ServiceClass.INTERACTIVE, "org-1", i, 100, 10_000));
		}
		GrantRequest quietRequest = fixture.newRequest(ServiceClass.INTERACTIVE, "org-2", 1, 100, 10_000);
		fixture.submit(quietRequest);
		fixture.release(runningReply);
		fixture.release(fixture.replies().get(1));
		assertTrue(fixture.replyTo(quietRequest).isPresent());
	}

	@Test
	public void bulkRequestsLeaveRoomForInteractiveRequests() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 2, 8);
		fixture.release(fixture.submitForReply(fixture.newRequest(1)));
		for (int i = 0; i < 30; i++) {
			fixture.submit(fixture.newRequest(ServiceClass.BULK, "org-1", i, 10_000, 100_000));
		}
		assertEquals(fixture.replies().size() - 1, 12);
		assertTrue(fixture.submit(fixture.newRequest(5)).isPresent());
	}

	@Test
	public void fullQueueEvictsABulkRequestForAnUrgentOne() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.submitForReply(fixture.newRequest(1));
		GrantRequest lastBulkRequest = fixture.newRequest(1);
		for (int i = 0; i < 2048; i++) {
			lastBulkRequest = fixture.newRequest(ServiceClass.BULK, "org-1", i, 1, 1_000_000);
			fixture.submit(lastBulkRequest);
		}
		assertEquals(fixture.submitForReply(fixture.newRequest(ServiceClass.BULK, "org-1", 1, 1, 1_000_000)).verdict(),
				GrantVerdict.REFUSED);
		assertTrue(fixture.submit(fixture.newRequest(ServiceClass.URGENT, "org-1", 1, 1, 1_000_000)).isEmpty());
		assertEquals(fixture.replyTo(lastBulkRequest).map(GrantReply::verdict), Optional.of(GrantVerdict.REFUSED));
	}

	@Test
	public void retryDelaysAreSpreadOverTheTimeToServeTheBacklog() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 1);
		fixture.submitForReply(fixture.newRequest(1));
		List<Long> retryDelaysMillis = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			GrantRequest grantRequest = fixture.newRequest(ServiceClass.INTERACTIVE, "org-1", i, 100, 500);
			fixture.submit(grantRequest).ifPresent((reply) -> retryDelaysMillis.add(reply.retryAfterMillis()));
		}
		assertTrue(retryDelaysMillis.size() > 40, "refused requests: " + retryDelaysMillis.size());
		assertTrue(retryDelaysMillis.get(retryDelaysMillis.size() - 1) > 2500,
				"retry delays, the last of which is too short: " + retryDelaysMillis);
	}

	@Test
	public void organisationAtItsLimitWaitsForOneOfItsReleases() {
		AdmissionFixture fixture = AdmissionFixture.warmedUp(AdmissionPolicy.BOUNDED, 1, 8);
		GrantReply firstReply = fixture
			.submitForReply(fixture.newRequest(ServiceClass.INTERACTIVE, "org-9", 1, 100, 10_000));
		for (int i = 0; i < 3; i++) {
			fixture.submitForReply(fixture.newRequest(ServiceClass.INTERACTIVE, "org-9", i, 100, 10_000));
		}
		GrantRequest fifthRequest = fixture.newRequest(ServiceClass.INTERACTIVE, "org-9", 1, 100, 10_000);
		assertTrue(fixture.submit(fifthRequest).isEmpty());
		assertTrue(fixture.submit(fixture.newRequest(ServiceClass.INTERACTIVE, "org-1", 1, 100, 10_000)).isPresent());
		fixture.release(firstReply);
		assertTrue(fixture.replyTo(fifthRequest).isPresent());
	}

	@Test
	public void fullShardRedirectsToAShardWithRoom() {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.defaults(AdmissionPolicy.BOUNDED, 7));
		ShardId otherShard = new ShardId(AdmissionFixture.POOL, new DomainId("d1"), 0);
		fixture.handle(new CatalogueChanged(AdmissionFixture.catalogue(2, 2, 1)));
		fixture.handle(new OwnershipChanged(new Ownership(AdmissionFixture.SELF, AdmissionFixture.DOMAIN,
				Map.of(AdmissionFixture.SELF, AdmissionFixture.DOMAIN, OTHER_ROUTER, otherShard.domain()))));
		fixture.advance(1600);
		fixture.receive(new ShardLoad(otherShard, 1, 0, 0, 1, 1));
		fixture.submitForReply(fixture.newRequest(1));
		GrantRequest grantRequest = fixture.newRequest(1);
		GrantRequest redirectableRequest = new GrantRequest(grantRequest.requestId(), 1, grantRequest.shard(),
				grantRequest.entry(), grantRequest.organisation(), grantRequest.serviceClass(), grantRequest.chatHash(),
				grantRequest.deadlineMillis(), 1000, Set.of(), false);
		assertEquals(fixture.submitForReply(redirectableRequest).verdict(), GrantVerdict.REDIRECTED);
		assertEquals(fixture.submitForReply(redirectableRequest).shard(), otherShard);
		assertTrue(fixture.submit(fixture.newRequest(1)).isEmpty());
	}

	@Test
	public void sendsItsLoadToTheOwnersOfOtherShards() {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.defaults(AdmissionPolicy.BOUNDED, 7));
		fixture.handle(new CatalogueChanged(AdmissionFixture.catalogue(2, 2, 8)));
		fixture.handle(new OwnershipChanged(new Ownership(AdmissionFixture.SELF, AdmissionFixture.DOMAIN,
				Map.of(AdmissionFixture.SELF, AdmissionFixture.DOMAIN, OTHER_ROUTER, new DomainId("d1")))));
		fixture.advance(10_000);
		long idleMessageCount = loadMessageCount(fixture);
		assertTrue(idleMessageCount >= 9 && idleMessageCount <= 11, "load messages while idle: " + idleMessageCount);
		fixture.submitForReply(fixture.newRequest(1));
		fixture.advance(60);
		assertEquals(loadMessageCount(fixture), idleMessageCount + 1);
	}

	private static long loadMessageCount(AdmissionFixture fixture) {
		return fixture.otherActions()
			.stream()
			.filter((action) -> action instanceof SendPeer send && send.message() instanceof ShardLoad)
			.count();
	}

}
