package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.testng.annotations.Test;

import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.model.common.VmId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Runs three routers with random faults and checks that no key is executed twice within
 * its claim window.
 */
public class ClaimRandomRunTests {

	private static final int SEED_COUNT = Integer.getInteger("mustardlane.seeds", 200);

	private static final long FIRST_SEED = Long.getLong("mustardlane.firstSeed", 1);

	private static final int KEY_COUNT = 4;

	private static final int STEP_COUNT = 4_000;

	private static final long RETENTION_MILLIS = 5_000;

	private static final long MAX_TIMEOUT_MILLIS = 3_000;

	@Test
	public void noKeyIsExecutedTwiceWithinItsWindow() {
		List<String> violations = new ArrayList<>();
		ClaimCounts claimCounts = new ClaimCounts();
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
			new RandomRun(seed, claimCounts, violations).run();
		}
		System.out.println("claims random run: seeds " + SEED_COUNT + ", " + claimCounts);
		assertEquals(violations.size(), 0, "keys executed twice, first five: " + violations.stream().limit(5).toList());
		assertTrue(claimCounts.executions > SEED_COUNT && claimCounts.releasedClaims > 0
				&& claimCounts.unavailableReplies > 0, claimCounts.toString());
	}

	/**
	 * Counts of claim requests, their replies and executions over the runs of all seeds.
	 */
	private static final class ClaimCounts {

		private int requestedClaims;

		private int executions;

		private int releasedClaims;

		private int unavailableReplies;

		private int heldByOtherReplies;

		@Override
		public String toString() {
			return "requested " + this.requestedClaims + ", executed " + this.executions + ", released "
					+ this.releasedClaims + ", unavailable " + this.unavailableReplies + ", held by other "
					+ this.heldByOtherReplies;
		}

	}

	/**
	 * An attempt as the router that sent its claim requests sees it.
	 */
	private static final class Attempt {

		private final String id;

		private final String key;

		private final VmId requester;

		private final long deadlineMillis;

		private boolean pending = true;

		private Attempt(String id, String key, VmId requester, long deadlineMillis) {
			this.id = id;
			this.key = key;
			this.requester = requester;
			this.deadlineMillis = deadlineMillis;
		}

	}

	private static final class RandomRun {

		private final long seed;

		private final SplittableRandom random;

		private final ClaimCounts claimCounts;

		private final List<String> violations;

		private final FakeRouters routers = new FakeRouters(ClaimFixture.SETTINGS, "a", "b", "c");

		private final Map<String, Attempt> attempts = new HashMap<>();

		private final Map<String, Long> lastExecutionMillis = new HashMap<>();

		private long outageEndMillis;

		private int processedReplies;

		private RandomRun(long seed, ClaimCounts claimCounts, List<String> violations) {
			this.seed = seed;
			this.random = new SplittableRandom(seed);
			this.claimCounts = claimCounts;
			this.violations = violations;
			this.routers.appendFault = this::randomFault;
		}

		private void run() {
			this.routers.vms().forEach(this::changeLiveRouters);
			for (int step = 0; step < STEP_COUNT; step++) {
				injectFaults();
				if (withProbability(30)) {
					requestClaim();
				}
				this.routers.advance(10);
				processReplies();
			}
		}

		private boolean withProbability(int perThousand) {
			return this.random.nextInt(1_000) < perThousand;
		}

		private VmId randomVm() {
			return this.routers.vms().get(this.random.nextInt(this.routers.vms().size()));
		}

		private FakeLog.Fault randomFault() {
			this.routers.appendDelayMillis = this.random.nextInt(8_000);
			if (this.routers.nowMillis < this.outageEndMillis) {
				return FakeLog.Fault.values()[1 + this.random.nextInt(4)];
			}
			return withProbability(850) ? FakeLog.Fault.NONE : FakeLog.Fault.values()[this.random.nextInt(5)];
		}

		private void injectFaults() {
			if (withProbability(2)) {
				this.outageEndMillis = this.routers.nowMillis
						+ this.random.nextInt(withProbability(200) ? 8_000 : 1_500);
			}
			this.routers.isLogReadable = this.routers.nowMillis >= this.outageEndMillis || withProbability(200);
			VmId vm = randomVm();
			if (withProbability(4)) {
				changeLiveRouters(vm);
			}
			if (withProbability(6)) {
				this.routers.setFrozen(vm, !this.routers.isFrozen(vm) && withProbability(400));
			}
			if (withProbability(1)) {
				restart(vm);
			}
			this.routers.log.removeBefore(this.routers.nowMillis - RETENTION_MILLIS);
		}

		private void changeLiveRouters(VmId vm) {
			List<VmId> liveVms = new ArrayList<>(this.routers.vms());
			liveVms.removeIf((other) -> withProbability(400));
			this.routers.setLiveRouters(vm, liveVms.toArray(VmId[]::new));
		}

		private void restart(VmId vm) {
			this.attempts.values()
				.stream()
				.filter((attempt) -> attempt.requester.equals(vm))
				.forEach((attempt) -> attempt.pending = false);
			this.routers.start(vm);
			this.routers.setClockSkew(vm, this.random.nextInt(-200, 200));
			changeLiveRouters(vm);
		}

		private void requestClaim() {
			String id = "attempt" + this.attempts.size();
			long deadlineMillis = this.routers.nowMillis + this.random.nextLong(MAX_TIMEOUT_MILLIS);
			Attempt attempt = new Attempt(id, "key" + this.random.nextInt(KEY_COUNT), randomVm(), deadlineMillis);
			this.attempts.put(id, attempt);
			this.claimCounts.requestedClaims++;
			do {
				this.routers.send(attempt.requester, randomVm(),
						ClaimFixture.claimRequest(id, attempt.key, "body", deadlineMillis));
			}
			while (withProbability(400));
		}

		private void processReplies() {
			while (this.processedReplies < this.routers.replies.size()) {
				ClaimReply reply = this.routers.replies.get(this.processedReplies);
				this.processedReplies++;
				processReply(reply, this.attempts.get(reply.attemptId()));
			}
		}

		private void processReply(ClaimReply reply, Attempt attempt) {
			if (reply.verdict() == ClaimVerdict.NOT_OWNER || withProbability(30)) {
				return;
			}
			if (reply.verdict() == ClaimVerdict.HELD) {
				handleGrantedKey(attempt);
				return;
			}
			this.claimCounts.unavailableReplies += (reply.verdict() == ClaimVerdict.UNAVAILABLE) ? 1 : 0;
			this.claimCounts.heldByOtherReplies += (reply.verdict() == ClaimVerdict.HELD_BY_OTHER) ? 1 : 0;
			attempt.pending = false;
		}

		private void handleGrantedKey(Attempt attempt) {
			boolean isInTime = attempt.pending && this.routers.nowMillis < attempt.deadlineMillis;
			if (isInTime && withProbability(600)) {
				execute(attempt);
			}
			else if (attempt.pending) {
				this.claimCounts.releasedClaims++;
				this.routers.send(attempt.requester, randomVm(), new ClaimRelease(attempt.key, attempt.id));
			}
			attempt.pending = false;
		}

		private void execute(Attempt attempt) {
			this.claimCounts.executions++;
			Long previousMillis = this.lastExecutionMillis.put(attempt.key, this.routers.nowMillis);
			long toleranceMillis = MAX_TIMEOUT_MILLIS;
			long windowMillis = ClaimFixture.SETTINGS.windowMillis();
			if (previousMillis != null && this.routers.nowMillis < previousMillis + windowMillis - toleranceMillis) {
				this.violations.add("seed " + this.seed + " " + attempt.key + " " + previousMillis + " and "
						+ this.routers.nowMillis + " by " + attempt.id);
			}
		}

	}

}
