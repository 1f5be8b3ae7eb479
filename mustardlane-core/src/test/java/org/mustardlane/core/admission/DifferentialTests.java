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
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRenewal;
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
 * Drives the naive and the chosen policy with the same stream of asks, releases, failures
 * and leaves, and checks what must hold after each step.
 */
public class DifferentialTests {

	private static final int SEEDS = Integer.getInteger("mustardlane.seeds", 300);

	private static final int FIRST_SEED = Integer.getInteger("mustardlane.firstSeed", 0);

	private static final int STEPS = 300;

	private static final int TARGETS = 6;

	private static final int SLOTS = 4;

	@Test
	public void invariantsHoldOnTheSameStreamForBothPolicies() {
		for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			Run naive = new Run(AdmissionPolicy.NAIVE, seed);
			Run bounded = new Run(AdmissionPolicy.BOUNDED, seed);
			naive.drive();
			bounded.drive();
			assertEquals(bounded.asks.size(), naive.asks.size(), "seed " + seed);
		}
	}

	@Test
	public void sameEventsGiveTheSameAnswers() {
		for (int seed = FIRST_SEED; seed < FIRST_SEED + 5; seed++) {
			Run one = new Run(AdmissionPolicy.BOUNDED, seed);
			Run other = new Run(AdmissionPolicy.BOUNDED, seed);
			one.drive();
			other.drive();
			assertEquals(one.log, other.log);
		}
	}

	private static final class Run {

		private final AdmissionPolicy policy;

		private final String name;

		private final Random random;

		private final CatalogueSnapshot catalogue = AdmissionFixture.catalogue(TARGETS, 3, SLOTS);

		private final AdmissionFixture fixture;

		private final Map<String, GrantAsk> asks = new LinkedHashMap<>();

		private final Map<String, GrantAnswer> held = new LinkedHashMap<>();

		private final List<GrantAnswer> log = new ArrayList<>();

		private final Set<String> decided = new HashSet<>();

		private final Set<String> withdrawn = new HashSet<>();

		private final Set<TargetId> leaving = new HashSet<>();

		Run(AdmissionPolicy policy, int seed) {
			this.policy = policy;
			this.name = policy + " seed " + seed;
			this.random = new Random(seed);
			this.fixture = new AdmissionFixture(AdmissionSettings.of(policy, seed));
		}

		void drive() {
			this.fixture.take(new CatalogueChanged(this.catalogue));
			this.fixture
				.take(new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF)));
			this.fixture.advance(2000);
			for (int step = 0; step < STEPS; step++) {
				step();
				check();
			}
			for (int i = 0; i < 12; i++) {
				renew();
				advance(500);
			}
			this.asks.keySet()
				.forEach((ask) -> assertTrue(this.decided.contains(ask) || this.withdrawn.contains(ask),
						this.name + " starved " + ask));
		}

		private void step() {
			int kind = this.random.nextInt(100);
			int pick = this.random.nextInt(1000);
			long chat = 1 + this.random.nextInt(50);
			int organisation = Math.min(this.random.nextInt(2 * AdmissionFixture.ORGANISATIONS),
					AdmissionFixture.ORGANISATIONS - 1);
			ServiceClass serviceClass = ServiceClass.values()[this.random.nextInt(3)];
			int patienceMillis = 200 + this.random.nextInt(4000);
			if (kind < 50) {
				ask(serviceClass, organisation, chat, patienceMillis);
			}
			else if (kind < 80) {
				release(pick, (kind < 75) ? ReleaseCause.COMPLETED : ReleaseCause.FAILED);
			}
			else if (kind < 84) {
				withdraw(pick);
			}
			else if (kind < 88) {
				toggleLeaving(pick % TARGETS);
			}
			else {
				renew();
				advance(pick / 2);
			}
		}

		private void advance(int millis) {
			for (int i = 0; i < millis; i += 10) {
				this.fixture.advance(10);
				check();
			}
		}

		private void ask(ServiceClass serviceClass, int organisation, long chat, int patienceMillis) {
			GrantAsk ask = this.fixture.atHome(this.catalogue,
					this.fixture.newAsk(serviceClass, "org-" + organisation, chat, 100, patienceMillis));
			this.asks.put(ask.requestId().value(), ask);
			this.fixture.receive(ask);
		}

		private void release(int pick, ReleaseCause cause) {
			if (!this.held.isEmpty()) {
				GrantAnswer answer = new ArrayList<>(this.held.values()).get(pick % this.held.size());
				this.held.remove(answer.requestId().value());
				long firstTokenMillis = (pick % 10 == 0) ? 500 : 20;
				this.fixture.release(answer, cause, new AttemptTiming(firstTokenMillis, 10, 100));
			}
		}

		private void withdraw(int pick) {
			List<GrantAsk> waiting = this.asks.values()
				.stream()
				.filter((ask) -> !this.decided.contains(ask.requestId().value()))
				.toList();
			if (!waiting.isEmpty()) {
				GrantAsk ask = waiting.get(pick % waiting.size());
				this.withdrawn.add(ask.requestId().value());
				this.fixture.withdraw(ask);
			}
		}

		private void toggleLeaving(int target) {
			TargetId id = AdmissionFixture.target(target);
			boolean leaves = !this.leaving.remove(id) && this.leaving.add(id);
			this.fixture.report(target, 0, leaves);
		}

		private void renew() {
			this.held.values()
				.forEach(
						(answer) -> this.fixture.receive(new GrantRenewal(answer.shard(), List.of(heldGrant(answer)))));
		}

		private HeldGrant heldGrant(GrantAnswer answer) {
			GrantAsk ask = this.asks.get(answer.requestId().value());
			return new HeldGrant(answer.grantId(), answer.target().orElseThrow(), answer.requestId(), answer.attempt(),
					ask.organisation(), ask.serviceClass());
		}

		private void check() {
			Set<TargetId> fresh = new HashSet<>();
			for (GrantAnswer answer : this.fixture.answers()) {
				String request = answer.requestId().value();
				this.log.add(answer);
				assertTrue(this.decided.add(request), this.name + " decided twice " + request);
				assertFalse(this.withdrawn.contains(request), this.name + " granted withdrawn " + request);
				if (answer.verdict() == GrantVerdict.GRANTED) {
					this.held.put(request, answer);
					fresh.add(answer.target().orElseThrow());
				}
			}
			this.fixture.answers().clear();
			checkTargets(fresh);
			checkOrganisations();
		}

		private void checkTargets(Set<TargetId> fresh) {
			Map<TargetId, Integer> counts = new HashMap<>();
			this.held.values().forEach((answer) -> counts.merge(answer.target().orElseThrow(), 1, Integer::sum));
			counts.forEach((target, count) -> assertTrue(count <= SLOTS, this.name + " slots of " + target));
			Set<TargetId> open = this.fixture.handler().openTargets();
			int granted = open.stream().mapToInt((target) -> counts.getOrDefault(target, 0)).sum();
			for (TargetId target : fresh) {
				assertFalse(this.leaving.contains(target), this.name + " granted leaving " + target);
				int load = open.contains(target) ? granted : granted + 1;
				double bound = Math.ceil(1.25 * load / Math.max(1, open.size()));
				assertTrue(this.policy == AdmissionPolicy.NAIVE || counts.getOrDefault(target, 0) <= bound,
						this.name + " bound " + bound + " passed by " + target + " with " + counts + " open " + open);
			}
		}

		private void checkOrganisations() {
			Map<String, Integer> counts = new HashMap<>();
			this.held.keySet()
				.forEach((request) -> counts.merge(this.asks.get(request).organisation().value(), 1, Integer::sum));
			for (int limited = 8; limited < AdmissionFixture.ORGANISATIONS; limited++) {
				assertTrue(
						this.policy == AdmissionPolicy.NAIVE
								|| counts.getOrDefault("org-" + limited, 0) <= AdmissionFixture.LOW_LIMIT,
						this.name + " limit passed " + counts);
			}
		}

	}

}
