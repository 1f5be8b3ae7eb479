package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.testng.annotations.Test;

import org.mustardlane.core.message.ClaimAnswer;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.model.common.VmId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Runs three routers with random faults and checks that no key is executed twice within
 * its claim window.
 */
public class ClaimRandomRunTests {

	private static final int SEEDS = Integer.getInteger("mustardlane.seeds", 200);

	private static final long FIRST_SEED = Long.getLong("mustardlane.firstSeed", 1);

	private static final int KEYS = 4;

	private static final int STEPS = 4_000;

	private static final long RETENTION_MILLIS = 5_000;

	private static final long LONGEST_DEADLINE_MILLIS = 3_000;

	@Test
	public void noKeyRunsTwiceWithinItsWindow() {
		List<String> faults = new ArrayList<>();
		Tally tally = new Tally();
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			new Run(seed, tally, faults).run();
		}
		System.out.println("claims random run: seeds " + SEEDS + ", " + tally);
		assertEquals(faults.size(), 0, "keys run twice, first: " + faults.stream().limit(5).toList());
		assertTrue(tally.ran > SEEDS && tally.released > 0 && tally.unavailable > 0, tally.toString());
	}

	/**
	 * Event counts over the runs of all seeds.
	 */
	private static final class Tally {

		private int asked;

		private int ran;

		private int released;

		private int unavailable;

		private int othersHeld;

		@Override
		public String toString() {
			return "asked " + this.asked + ", ran " + this.ran + ", released " + this.released + ", unavailable "
					+ this.unavailable + ", held by other " + this.othersHeld;
		}

	}

	/**
	 * An attempt as the router that sent its claim requests sees it.
	 */
	private static final class Attempt {

		private final String id;

		private final String key;

		private final VmId asker;

		private final long deadlineMillis;

		private boolean open = true;

		private Attempt(String id, String key, VmId asker, long deadlineMillis) {
			this.id = id;
			this.key = key;
			this.asker = asker;
			this.deadlineMillis = deadlineMillis;
		}

	}

	private static final class Run {

		private final long seed;

		private final SplittableRandom random;

		private final Tally tally;

		private final List<String> faults;

		private final FakeRouters routers = new FakeRouters(ClaimFixture.SETTINGS, "a", "b", "c");

		private final Map<String, Attempt> attempts = new HashMap<>();

		private final Map<String, Long> lastRunMillis = new HashMap<>();

		private long outageEndMillis;

		private int answersSeen;

		private Run(long seed, Tally tally, List<String> faults) {
			this.seed = seed;
			this.random = new SplittableRandom(seed);
			this.tally = tally;
			this.faults = faults;
			this.routers.fault = this::fault;
		}

		private void run() {
			this.routers.vms().forEach(this::changeView);
			for (int step = 0; step < STEPS; step++) {
				disturb();
				if (chance(30)) {
					ask();
				}
				this.routers.pass(10);
				takeAnswers();
			}
		}

		private boolean chance(int perThousand) {
			return this.random.nextInt(1_000) < perThousand;
		}

		private VmId anyVm() {
			return this.routers.vms().get(this.random.nextInt(this.routers.vms().size()));
		}

		private FakeLog.Fault fault() {
			this.routers.lateEffectMillis = this.random.nextInt(8_000);
			if (this.routers.nowMillis < this.outageEndMillis) {
				return FakeLog.Fault.values()[1 + this.random.nextInt(4)];
			}
			return chance(850) ? FakeLog.Fault.NONE : FakeLog.Fault.values()[this.random.nextInt(5)];
		}

		private void disturb() {
			if (chance(2)) {
				this.outageEndMillis = this.routers.nowMillis + this.random.nextInt(chance(200) ? 8_000 : 1_500);
			}
			this.routers.readable = this.routers.nowMillis >= this.outageEndMillis || chance(200);
			VmId vm = anyVm();
			if (chance(4)) {
				changeView(vm);
			}
			if (chance(6)) {
				this.routers.freeze(vm, !this.routers.isFrozen(vm) && chance(400));
			}
			if (chance(1)) {
				restart(vm);
			}
			this.routers.log.cutBefore(this.routers.nowMillis - RETENTION_MILLIS);
		}

		private void changeView(VmId vm) {
			List<VmId> live = new ArrayList<>(this.routers.vms());
			live.removeIf((other) -> chance(400));
			this.routers.view(vm, live.toArray(VmId[]::new));
		}

		private void restart(VmId vm) {
			this.attempts.values().stream().filter((one) -> one.asker.equals(vm)).forEach((one) -> one.open = false);
			this.routers.start(vm);
			this.routers.skew(vm, this.random.nextInt(-200, 200));
			changeView(vm);
		}

		private void ask() {
			String id = "attempt" + this.attempts.size();
			long deadlineMillis = this.routers.nowMillis + this.random.nextLong(LONGEST_DEADLINE_MILLIS);
			Attempt attempt = new Attempt(id, "key" + this.random.nextInt(KEYS), anyVm(), deadlineMillis);
			this.attempts.put(id, attempt);
			this.tally.asked++;
			do {
				this.routers.send(attempt.asker, anyVm(), ClaimFixture.askOf(id, attempt.key, "body", deadlineMillis));
			}
			while (chance(400));
		}

		private void takeAnswers() {
			while (this.answersSeen < this.routers.answers.size()) {
				ClaimAnswer answer = this.routers.answers.get(this.answersSeen);
				this.answersSeen++;
				take(answer, this.attempts.get(answer.attemptId()));
			}
		}

		private void take(ClaimAnswer answer, Attempt attempt) {
			if (answer.verdict() == ClaimVerdict.NOT_OWNER || chance(30)) {
				return;
			}
			if (answer.verdict() == ClaimVerdict.HELD) {
				takeKey(attempt);
				return;
			}
			this.tally.unavailable += (answer.verdict() == ClaimVerdict.UNAVAILABLE) ? 1 : 0;
			this.tally.othersHeld += (answer.verdict() == ClaimVerdict.HELD_BY_OTHER) ? 1 : 0;
			attempt.open = false;
		}

		private void takeKey(Attempt attempt) {
			boolean inTime = attempt.open && this.routers.nowMillis < attempt.deadlineMillis;
			if (inTime && chance(600)) {
				execute(attempt);
			}
			else if (attempt.open) {
				this.tally.released++;
				this.routers.send(attempt.asker, anyVm(), new ClaimRelease(attempt.key, attempt.id));
			}
			attempt.open = false;
		}

		private void execute(Attempt attempt) {
			this.tally.ran++;
			Long lastMillis = this.lastRunMillis.put(attempt.key, this.routers.nowMillis);
			long graceMillis = LONGEST_DEADLINE_MILLIS;
			long windowMillis = ClaimFixture.SETTINGS.windowMillis();
			if (lastMillis != null && this.routers.nowMillis < lastMillis + windowMillis - graceMillis) {
				this.faults.add("seed " + this.seed + " " + attempt.key + " " + lastMillis + " and "
						+ this.routers.nowMillis + " by " + attempt.id);
			}
		}

	}

}
