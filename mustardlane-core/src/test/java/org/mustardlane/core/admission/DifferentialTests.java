package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.target.AttemptTiming;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Applies the same random requests, releases, failures and target departures to the naive
 * and the bounded policy, and checks the invariants of admission after each event.
 */
public class DifferentialTests {

	private static final int SEED_COUNT = Integer.getInteger("mustardlane.seeds", 300);

	private static final int FIRST_SEED = Integer.getInteger("mustardlane.firstSeed", 0);

	private static final int EVENT_COUNT = 300;

	private static final int TARGET_COUNT = 6;

	private static final int SLOTS_PER_TARGET = 4;

	@Test
	public void invariantsHoldForBothPoliciesOnTheSameEvents() {
		for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
			PolicyRun naive = new PolicyRun(AdmissionPolicy.NAIVE, seed);
			PolicyRun bounded = new PolicyRun(AdmissionPolicy.BOUNDED, seed);
			naive.run();
			bounded.run();
			assertEquals(bounded.requests.size(), naive.requests.size(), "seed " + seed);
		}
	}

	@Test
	public void sameEventsGiveTheSameReplies() {
		for (int seed = FIRST_SEED; seed < FIRST_SEED + 5; seed++) {
			PolicyRun first = new PolicyRun(AdmissionPolicy.BOUNDED, seed);
			PolicyRun second = new PolicyRun(AdmissionPolicy.BOUNDED, seed);
			first.run();
			second.run();
			assertEquals(first.replies, second.replies);
		}
	}

	private static final class PolicyRun {

		private final AdmissionPolicy policy;

		private final String description;

		private final Random random;

		private final CatalogueSnapshot catalogue = AdmissionFixture.catalogue(TARGET_COUNT, 3, SLOTS_PER_TARGET);

		private final AdmissionFixture fixture;

		private final Map<String, GrantRequest> requests = new LinkedHashMap<>();

		private final Map<String, GrantReply> heldReplies = new LinkedHashMap<>();

		private final List<GrantReply> replies = new ArrayList<>();

		private final Set<String> decidedIds = new HashSet<>();

		private final Set<String> withdrawnIds = new HashSet<>();

		private final Set<TargetId> leavingTargets = new HashSet<>();

		PolicyRun(AdmissionPolicy policy, int seed) {
			this.policy = policy;
			this.description = policy + " seed " + seed;
			this.random = new Random(seed);
			this.fixture = new AdmissionFixture(AdmissionSettings.defaults(policy, seed));
		}

		void run() {
			this.fixture.handle(new CatalogueChanged(this.catalogue));
			this.fixture
				.handle(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF)));
			this.fixture.advance(2000);
			for (int i = 0; i < EVENT_COUNT; i++) {
				applyRandomEvent();
				checkInvariants();
			}
			for (int i = 0; i < 12; i++) {
				renew();
				advance(500);
			}
			this.requests.keySet()
				.forEach((requestId) -> assertTrue(
						this.decidedIds.contains(requestId) || this.withdrawnIds.contains(requestId),
						this.description + ": no decision for " + requestId));
		}

		private void applyRandomEvent() {
			int eventSelector = this.random.nextInt(100);
			int randomValue = this.random.nextInt(1000);
			long chat = 1 + this.random.nextInt(50);
			int organisation = Math.min(this.random.nextInt(2 * AdmissionFixture.ORGANISATION_COUNT),
					AdmissionFixture.ORGANISATION_COUNT - 1);
			ServiceClass serviceClass = ServiceClass.values()[this.random.nextInt(3)];
			int timeoutMillis = 200 + this.random.nextInt(4000);
			if (eventSelector < 50) {
				submit(serviceClass, organisation, chat, timeoutMillis);
			}
			else if (eventSelector < 80) {
				release(randomValue, (eventSelector < 75) ? ReleaseCause.COMPLETED : ReleaseCause.FAILED);
			}
			else if (eventSelector < 84) {
				withdraw(randomValue);
			}
			else if (eventSelector < 88) {
				toggleLeaving(randomValue % TARGET_COUNT);
			}
			else {
				renew();
				advance(randomValue / 2);
			}
		}

		private void advance(int durationMillis) {
			for (int i = 0; i < durationMillis; i += 10) {
				this.fixture.advance(10);
				checkInvariants();
			}
		}

		private void submit(ServiceClass serviceClass, int organisation, long chat, int timeoutMillis) {
			GrantRequest request = this.fixture.atHomeShard(this.catalogue,
					this.fixture.newRequest(serviceClass, "org-" + organisation, chat, 100, timeoutMillis));
			this.requests.put(request.requestId().value(), request);
			this.fixture.receive(request);
		}

		private void release(int randomValue, ReleaseCause cause) {
			if (!this.heldReplies.isEmpty()) {
				GrantReply reply = new ArrayList<>(this.heldReplies.values())
					.get(randomValue % this.heldReplies.size());
				this.heldReplies.remove(reply.requestId().value());
				long firstTokenMillis = (randomValue % 10 == 0) ? 500 : 20;
				this.fixture.release(reply, cause, new AttemptTiming(firstTokenMillis, 10, 100));
			}
		}

		private void withdraw(int randomValue) {
			List<GrantRequest> undecided = this.requests.values()
				.stream()
				.filter((request) -> !this.decidedIds.contains(request.requestId().value()))
				.toList();
			if (!undecided.isEmpty()) {
				GrantRequest request = undecided.get(randomValue % undecided.size());
				this.withdrawnIds.add(request.requestId().value());
				this.fixture.withdraw(request);
			}
		}

		private void toggleLeaving(int targetIndex) {
			TargetId id = AdmissionFixture.target(targetIndex);
			boolean isLeaving = !this.leavingTargets.remove(id) && this.leavingTargets.add(id);
			this.fixture.reportLoad(targetIndex, 0, isLeaving);
		}

		private void renew() {
			this.heldReplies.values()
				.forEach((reply) -> this.fixture.receive(new GrantRenewal(reply.shard(), List.of(heldGrant(reply)))));
		}

		private HeldGrant heldGrant(GrantReply reply) {
			GrantRequest request = this.requests.get(reply.requestId().value());
			return new HeldGrant(reply.grantId(), reply.target().orElseThrow(), reply.requestId(), reply.attempt(),
					request.organisation(), request.serviceClass());
		}

		private void checkInvariants() {
			Set<TargetId> newlyGranted = new HashSet<>();
			for (GrantReply reply : this.fixture.replies()) {
				String requestId = reply.requestId().value();
				this.replies.add(reply);
				assertTrue(this.decidedIds.add(requestId), this.description + ": second decision for " + requestId);
				assertFalse(this.withdrawnIds.contains(requestId),
						this.description + ": decision for withdrawn request " + requestId);
				if (reply.verdict() == GrantVerdict.GRANTED) {
					this.heldReplies.put(requestId, reply);
					newlyGranted.add(reply.target().orElseThrow());
				}
			}
			this.fixture.replies().clear();
			checkTargets(newlyGranted);
			checkOrganisations();
		}

		private void checkTargets(Set<TargetId> newlyGranted) {
			Map<TargetId, Integer> grantCounts = new HashMap<>();
			this.heldReplies.values()
				.forEach((reply) -> grantCounts.merge(reply.target().orElseThrow(), 1, Integer::sum));
			grantCounts.forEach((target, count) -> assertTrue(count <= SLOTS_PER_TARGET,
					this.description + ": more grants than slots on " + target));
			Set<TargetId> openTargets = this.fixture.handler().openTargets();
			int granted = openTargets.stream().mapToInt((target) -> grantCounts.getOrDefault(target, 0)).sum();
			for (TargetId target : newlyGranted) {
				assertFalse(this.leavingTargets.contains(target),
						this.description + ": grant of leaving target " + target);
				int load = openTargets.contains(target) ? granted : granted + 1;
				double loadBound = Math.ceil(1.25 * load / Math.max(1, openTargets.size()));
				assertTrue(this.policy == AdmissionPolicy.NAIVE || grantCounts.getOrDefault(target, 0) <= loadBound,
						this.description + ": load bound " + loadBound + " exceeded by " + target + ", grants "
								+ grantCounts + ", open targets " + openTargets);
			}
		}

		private void checkOrganisations() {
			Map<String, Integer> grantCounts = new HashMap<>();
			this.heldReplies.keySet()
				.forEach((requestId) -> grantCounts.merge(this.requests.get(requestId).organisation().value(), 1,
						Integer::sum));
			for (int organisation = 8; organisation < AdmissionFixture.ORGANISATION_COUNT; organisation++) {
				assertTrue(this.policy == AdmissionPolicy.NAIVE
						|| grantCounts.getOrDefault("org-" + organisation, 0) <= AdmissionFixture.LOW_CONCURRENCY_LIMIT,
						this.description + ": concurrency limit exceeded, grants " + grantCounts);
			}
		}

	}

}
