package org.mustardlane.core.claim;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests how {@link ClaimHandler} handles log outages, log retention and many claims.
 */
public class ClaimOutageTests extends ClaimFixture {

	@DataProvider
	public Object[][] outages() {
		return new Object[][] { { FakeLog.Fault.REJECTED, true }, { FakeLog.Fault.NO_EFFECT, true },
				{ FakeLog.Fault.NONE, false }, { FakeLog.Fault.LOST_ANSWER, false },
				{ FakeLog.Fault.REJECTED, false } };
	}

	@Test(dataProvider = "outages")
	public void outageIsToldInTimeAndKeyRunsAfterIt(FakeLog.Fault fault, boolean readable) {
		this.routers.readable = readable;
		this.routers.fault = () -> fault;
		this.routers.send(A, A, askOf("first", "body", this.routers.nowMillis + 700));
		this.routers.pass(650);
		assertEquals(answer("first").verdict(), ClaimVerdict.UNAVAILABLE);
		assertTrue(answer("first").retryAfterMillis() >= 500);
		this.routers.pass(30_000);
		this.routers.readable = true;
		this.routers.fault = () -> FakeLog.Fault.NONE;
		this.routers.pass(3_000);
		claim(A, "retry");
		assertEquals(answers("first"), 1);
	}

	@Test
	public void attemptThatWasRefusedStaysRefused() {
		this.routers.readable = false;
		ask(A, "first");
		this.routers.pass(1_000);
		this.routers.readable = true;
		ask(A, "first");
		this.routers.pass(300);
		ask(A, "first");
		this.routers.pass(1_000);
		assertEquals(answers("first"), 3);
		assertTrue(this.routers.answers.stream().allMatch((one) -> one.verdict() == ClaimVerdict.UNAVAILABLE));
	}

	@Test
	public void streamThatFallsSilentIsFollowedAgain() {
		this.routers.loseFollowed(A);
		this.routers.pass(10_100);
		claim(A, "first");
	}

	@Test
	public void partitionThatIsLostIsNoLongerRead() {
		claim(A, "first");
		this.routers.view(A, B);
		this.routers.pass(29_000);
		assertTrue(this.routers.follows(A, STREAM));
		this.routers.pass(2_000);
		assertFalse(this.routers.follows(A, STREAM));
		this.routers.follow(A, STREAM);
		this.routers.pass(100);
		assertFalse(this.routers.follows(A, STREAM));
	}

	@Test
	public void outageThatLastsIsToldAtOnce() {
		this.routers.readable = false;
		this.routers.pass(1_500);
		ask(A, "first");
		assertEquals(answer("first").verdict(), ClaimVerdict.UNAVAILABLE);
		this.routers.readable = true;
		this.routers.pass(10);
		claim(A, "second");
		assertEquals(records(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void outageWhileNewOwnerReadsIsTold() {
		this.routers.readable = false;
		this.routers.view(B, B);
		ask(B, "first");
		this.routers.pass(1_000);
		assertEquals(answer("first").verdict(), ClaimVerdict.UNAVAILABLE);
		assertEquals(records(ClaimCodec.CLAIM), 0);
	}

	@Test
	public void claimsOutliveRetention() {
		claim(A, "first");
		passWithRetention(15_000);
		assertEquals(claimsInLog("first"), 0);
		this.routers.view(B, B);
		passWithRetention(100);
		ask(B, "second");
		assertEquals(answer("second").verdict(), ClaimVerdict.HELD_BY_OTHER);
		passWithRetention(6_000);
		claim(B, "third");
	}

	@Test
	public void fastClockOfOwnerDoesNotEndClaim() {
		claim(A, "first");
		this.routers.pass(SETTINGS.windowMillis() - 2_000);
		this.routers.skew(A, 3_000);
		ask(A, "second");
		this.routers.pass(1_000);
		assertEquals(answer("second").verdict(), ClaimVerdict.UNAVAILABLE);
	}

	@Test
	public void idlePartitionStaysUsable() {
		claim(A, "first");
		passWithRetention(60_000);
		this.routers.view(B, B);
		this.routers.pass(50);
		claim(B, "second");
	}

	@Test
	public void checkpointWrittenTwiceIsHarmless() {
		claim(A, "first");
		this.routers.view(B, B);
		passWithRetention(9_000);
		assertTrue(records(ClaimCodec.CHECKPOINT) >= 4, "checkpoints " + records(ClaimCodec.CHECKPOINT));
		this.routers.start(B);
		this.routers.view(B, B);
		this.routers.pass(50);
		ask(B, "second");
		ask(A, "third");
		assertEquals(answer("second").holderVm().orElseThrow(), A);
		assertEquals(answer("third").verdict(), ClaimVerdict.HELD_BY_OTHER);
	}

	@Test
	public void gapInHistoryIsUnavailableForOneWindow() {
		claim(A, "first");
		this.routers.freeze(A, true);
		passWithRetention(6_000);
		this.routers.view(B, B);
		this.routers.pass(100);
		ask(B, "second");
		assertEquals(answer("second").verdict(), ClaimVerdict.UNAVAILABLE);
		assertTrue(answer("second").retryAfterMillis() > 19_000);
		this.routers.pass(20_600);
		claim(B, "third");
	}

	@Test
	public void fastClockOfNewOwnerDoesNotShortenGap() {
		claim(A, "first");
		this.routers.freeze(A, true);
		passWithRetention(6_000);
		this.routers.skew(B, 30_000);
		this.routers.view(B, B);
		this.routers.pass(100);
		this.routers.send(A, B, askOf("second", "body", this.routers.nowMillis + 35_000));
		this.routers.pass(1_000);
		assertEquals(answer("second").verdict(), ClaimVerdict.UNAVAILABLE);
		assertEquals(records(ClaimCodec.CLAIM), 2);
	}

	@Test
	public void routerThatDoesNotOwnSaysSo() {
		ask(B, "first");
		assertEquals(answer("first").verdict(), ClaimVerdict.NOT_OWNER);
	}

	@Test
	public void manyClaimsShareFewAppends() {
		for (int number = 0; number < 100; number++) {
			this.routers.send(A, A, askOf("attempt" + number, KEY, "body", this.routers.nowMillis + 5_000));
			this.routers.pass(10);
		}
		this.routers.pass(200);
		long held = this.routers.answers.stream().filter((answer) -> answer.verdict() == ClaimVerdict.HELD).count();
		assertEquals(held, 1);
		assertEquals(records(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void claimsOfManyKeysShareFewAppends() {
		int asked = 0;
		for (int number = 0; asked < 100; number++) {
			if (StreamName.claims(Ownership.partitionOf("k" + number)).equals(STREAM)) {
				this.routers.send(A, A,
						askOf("attempt" + number, "k" + number, "body", this.routers.nowMillis + 5_000));
				this.routers.pass(10);
				asked++;
			}
		}
		this.routers.pass(200);
		assertEquals(this.routers.answers.stream().filter((one) -> one.verdict() == ClaimVerdict.HELD).count(), 100);
		long appends = this.routers.log.records(STREAM)
			.stream()
			.mapToLong(LogRecord::appendedAtMillis)
			.distinct()
			.count();
		assertTrue(appends <= 12, "appends " + appends);
	}

	@Test
	public void foreignRecordsAreSkippedAndTold() {
		this.routers.log.write(STREAM,
				List.of(new RecordBody("claim.v9", new byte[1]),
						new RecordBody(ClaimCodec.CLAIM, "{\"claimKey\":\"key\"}".getBytes(StandardCharsets.UTF_8)),
						new RecordBody(ClaimCodec.CHECKPOINT, "null".getBytes(StandardCharsets.UTF_8))),
				this.routers.nowMillis);
		claim(A, "first");
		assertEquals(this.routers.events.size(), 3);
	}

	@Test
	public void flappingViewDoesNotReadWindowAgain() {
		claim(A, "first");
		this.routers.view(A, B);
		ask(A, "second");
		assertEquals(answer("second").verdict(), ClaimVerdict.NOT_OWNER);
		this.routers.view(A, A);
		this.routers.readable = false;
		ask(A, "third");
		assertEquals(answer("third").verdict(), ClaimVerdict.HELD_BY_OTHER);
		assertFalse(this.routers.answers.isEmpty());
	}

}
