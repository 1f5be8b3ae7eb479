package org.mustardlane.core.admission;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRenewal;
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
 * Tests of what two owners of one shard grant together while views differ.
 */
public class OwnerChangeTests {

	private static final int SLOTS = 10;

	private static final int ROUTERS = 5;

	private static AdmissionFixture owner(int seenRouters) {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.of(AdmissionPolicy.BOUNDED, 1));
		fixture.take(new VmListRead(new VmList(1,
				IntStream.range(0, ROUTERS)
					.mapToObj((i) -> new VmEntry((i != 0) ? router(i) : AdmissionFixture.SELF, AdmissionFixture.DOMAIN,
							"127.0.0.1", 1, VmState.LIVE))
					.toList())));
		fixture.take(new CatalogueChanged(AdmissionFixture.catalogue(1, 1, SLOTS)));
		VmId[] seen = new VmId[seenRouters];
		seen[0] = AdmissionFixture.SELF;
		for (int i = 1; i < seenRouters; i++) {
			seen[i] = router(ROUTERS - i);
		}
		fixture.take(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, seen)));
		return fixture;
	}

	/**
	 * Returns a router that does not own the shard beside the own one.
	 */
	private static VmId router(int index) {
		return IntStream.iterate(0, (name) -> name + 1)
			.mapToObj((name) -> new VmId("other-" + name))
			.filter((other) -> AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF, other)
				.shardOwner(AdmissionFixture.SHARD)
				.filter(AdmissionFixture.SELF::equals)
				.isPresent())
			.skip(index)
			.findFirst()
			.orElseThrow();
	}

	private static int grants(AdmissionFixture fixture, int asks) {
		List<GrantAsk> all = Stream.generate(() -> fixture.newAsk(1)).limit(asks).toList();
		all.forEach(fixture::receive);
		return (int) fixture.answers().stream().filter((answer) -> answer.verdict() == GrantVerdict.GRANTED).count();
	}

	@Test
	public void ownersOfTwoHalvesGrantNoMoreThanTheSlotsTogether() {
		int together = 0;
		for (int seen : new int[] { 2, 3 }) {
			AdmissionFixture half = owner(seen);
			half.advance(1600);
			int granted = grants(half, 20);
			assertEquals(granted, SLOTS * seen / ROUTERS);
			together += granted;
		}
		assertTrue(together <= SLOTS, "granted " + together);
	}

	@Test
	public void ownerOfAPartTakesAllSlotsOnceReportsShowNoOtherOwner() {
		AdmissionFixture part = owner(3);
		for (int i = 0; i < 12; i++) {
			part.advance(1000);
			part.report(0, 0, false);
		}
		assertEquals(grants(part, 20), SLOTS);
	}

	@Test
	public void ownerOfAPartKeepsToItWhileReportsShowAnotherOwner() {
		AdmissionFixture part = owner(3);
		for (int i = 0; i < 12; i++) {
			part.advance(1000);
			part.report(0, 4, false);
		}
		assertEquals(grants(part, 20), SLOTS * 3 / ROUTERS);
	}

	@Test
	public void newOwnerAddsAtMostWhatTheOldOneGrantedSinceTheReport() {
		AdmissionFixture oldOwner = owner(ROUTERS);
		oldOwner.advance(1600);
		int before = grants(oldOwner, 4);
		AdmissionFixture newOwner = owner(ROUTERS);
		newOwner.report(0, before, false);
		int sinceReport = grants(oldOwner, 3) - before;
		int added = grants(newOwner, 20);
		assertEquals(added, SLOTS - before);
		assertTrue(before + sinceReport + added <= SLOTS + sinceReport);
	}

	@Test
	public void newOwnerCountsRenewedGrantsOfTheOldOne() {
		AdmissionFixture newOwner = owner(ROUTERS);
		AdmissionFixture oldOwner = owner(ROUTERS);
		oldOwner.advance(1600);
		grants(oldOwner, 6);
		for (GrantAnswer answer : oldOwner.answers()) {
			newOwner.receive(new GrantRenewal(AdmissionFixture.SHARD,
					List.of(new HeldGrant(answer.grantId(), answer.target().orElseThrow(), answer.requestId(),
							answer.attempt(), AdmissionFixture.ORGANISATION, ServiceClass.INTERACTIVE))));
		}
		newOwner.advance(1600);
		assertEquals(grants(newOwner.freshRequests(), 20), SLOTS - 6);
	}

}
