package org.mustardlane.core.admission;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against granting more slots than a target has while two routers both consider
 * themselves the owner of its shard. This happens when their views of the live routers
 * differ.
 */
public class OwnerChangeTests {

	private static final int SLOT_COUNT = 10;

	private static final int ROUTER_COUNT = 5;

	private static AdmissionFixture newOwnerFixture(int visibleRouterCount) {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.defaults(AdmissionPolicy.BOUNDED, 1));
		fixture.handle(new VmListRead(new VmList(1,
				IntStream.range(0, ROUTER_COUNT)
					.mapToObj((i) -> new VmEntry((i != 0) ? otherRouter(i) : AdmissionFixture.SELF,
							AdmissionFixture.DOMAIN, "127.0.0.1", 1, VmState.LIVE))
					.toList())));
		fixture.handle(new CatalogueChanged(AdmissionFixture.catalogue(1, 1, SLOT_COUNT)));
		VmId[] visibleRouters = new VmId[visibleRouterCount];
		visibleRouters[0] = AdmissionFixture.SELF;
		for (int i = 1; i < visibleRouterCount; i++) {
			visibleRouters[i] = otherRouter(ROUTER_COUNT - i);
		}
		fixture.handle(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, visibleRouters)));
		return fixture;
	}

	/**
	 * Returns a router that would not own the shard if it and this router were the only
	 * ones.
	 */
	private static VmId otherRouter(int index) {
		return IntStream.iterate(0, (number) -> number + 1)
			.mapToObj((number) -> new VmId("other-" + number))
			.filter((candidate) -> AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF, candidate)
				.shardOwner(AdmissionFixture.SHARD)
				.filter(AdmissionFixture.SELF::equals)
				.isPresent())
			.skip(index)
			.findFirst()
			.orElseThrow();
	}

	private static int submitAndCountGrants(AdmissionFixture fixture, int count) {
		List<GrantRequest> requests = Stream.generate(() -> fixture.newRequest(1)).limit(count).toList();
		requests.forEach(fixture::receive);
		return (int) fixture.replies().stream().filter((reply) -> reply.verdict() == GrantVerdict.GRANTED).count();
	}

	@Test
	public void ownersWithPartialViewsTogetherStayWithinTheSlots() {
		int totalGranted = 0;
		for (int visibleCount : new int[] { 2, 3 }) {
			AdmissionFixture owner = newOwnerFixture(visibleCount);
			owner.advance(1600);
			int granted = submitAndCountGrants(owner, 20);
			assertEquals(granted, SLOT_COUNT * visibleCount / ROUTER_COUNT);
			totalGranted += granted;
		}
		assertTrue(totalGranted <= SLOT_COUNT, "grants of both owners: " + totalGranted);
	}

	@Test
	public void ownerWithPartialViewUsesAllSlotsOnceReportsShowNoOtherOwner() {
		AdmissionFixture owner = newOwnerFixture(3);
		for (int i = 0; i < 12; i++) {
			owner.advance(1000);
			owner.reportLoad(0, 0, false);
		}
		assertEquals(submitAndCountGrants(owner, 20), SLOT_COUNT);
	}

	@Test
	public void ownerWithPartialViewKeepsItsShareWhileReportsShowAnotherOwner() {
		AdmissionFixture owner = newOwnerFixture(3);
		for (int i = 0; i < 12; i++) {
			owner.advance(1000);
			owner.reportLoad(0, 4, false);
		}
		assertEquals(submitAndCountGrants(owner, 20), SLOT_COUNT * 3 / ROUTER_COUNT);
	}

	@Test
	public void newOwnerExceedsSlotsAtMostByGrantsSinceTheReport() {
		AdmissionFixture previousOwner = newOwnerFixture(ROUTER_COUNT);
		previousOwner.advance(1600);
		int grantedBeforeReport = submitAndCountGrants(previousOwner, 4);
		AdmissionFixture newOwner = newOwnerFixture(ROUTER_COUNT);
		newOwner.reportLoad(0, grantedBeforeReport, false);
		int grantedSinceReport = submitAndCountGrants(previousOwner, 3) - grantedBeforeReport;
		int grantedByNewOwner = submitAndCountGrants(newOwner, 20);
		assertEquals(grantedByNewOwner, SLOT_COUNT - grantedBeforeReport);
		assertTrue(grantedBeforeReport + grantedSinceReport + grantedByNewOwner <= SLOT_COUNT + grantedSinceReport);
	}

	@Test
	public void newOwnerCountsRenewedGrantsOfThePreviousOwner() {
		AdmissionFixture newOwner = newOwnerFixture(ROUTER_COUNT);
		AdmissionFixture previousOwner = newOwnerFixture(ROUTER_COUNT);
		previousOwner.advance(1600);
		submitAndCountGrants(previousOwner, 6);
		for (GrantReply reply : previousOwner.replies()) {
			newOwner.receive(new GrantRenewal(AdmissionFixture.SHARD,
					List.of(new HeldGrant(reply.grantId(), reply.target().orElseThrow(), reply.requestId(),
							reply.attempt(), AdmissionFixture.ORGANISATION, ServiceClass.INTERACTIVE))));
		}
		newOwner.advance(1600);
		assertEquals(submitAndCountGrants(newOwner.skipRequestNumbers(), 20), SLOT_COUNT - 6);
	}

}
