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
		return new Object[][] { { FakeLog.Fault.REJECTED, true }, { FakeLog.Fault.LOST_REQUEST, true },
				{ FakeLog.Fault.NONE, false }, { FakeLog.Fault.LOST_REPLY, false }, { FakeLog.Fault.REJECTED, false } };
	}

	@Test(dataProvider = "outages")
	public void outageIsReportedBeforeDeadlineAndKeyIsUsableAfterwards(FakeLog.Fault fault, boolean isReadable) {
		this.routers.isLogReadable = isReadable;
		this.routers.appendFault = () -> fault;
		this.routers.send(VM_A, VM_A, claimRequest("first", "body", this.routers.nowMillis + 700));
		this.routers.advance(650);
		assertEquals(replyTo("first").verdict(), ClaimVerdict.UNAVAILABLE);
		assertTrue(replyTo("first").retryAfterMillis() >= 500);
		this.routers.advance(30_000);
		this.routers.isLogReadable = true;
		this.routers.appendFault = () -> FakeLog.Fault.NONE;
		this.routers.advance(3_000);
		acquireKey(VM_A, "retry");
		assertEquals(countReplies("first"), 1);
	}

	@Test
	public void refusedAttemptStaysRefused() {
		this.routers.isLogReadable = false;
		requestClaim(VM_A, "first");
		this.routers.advance(1_000);
		this.routers.isLogReadable = true;
		requestClaim(VM_A, "first");
		this.routers.advance(300);
		requestClaim(VM_A, "first");
		this.routers.advance(1_000);
		assertEquals(countReplies("first"), 3);
		assertTrue(this.routers.replies.stream().allMatch((reply) -> reply.verdict() == ClaimVerdict.UNAVAILABLE));
	}

	@Test
	public void silentStreamIsFollowedAgain() {
		this.routers.dropSubscriptions(VM_A);
		this.routers.advance(10_100);
		acquireKey(VM_A, "first");
	}

	@Test
	public void lostPartitionIsUnfollowedAfterRetention() {
		acquireKey(VM_A, "first");
		this.routers.setLiveRouters(VM_A, VM_B);
		this.routers.advance(29_000);
		assertTrue(this.routers.isFollowing(VM_A, STREAM));
		this.routers.advance(2_000);
		assertFalse(this.routers.isFollowing(VM_A, STREAM));
		this.routers.follow(VM_A, STREAM);
		this.routers.advance(100);
		assertFalse(this.routers.isFollowing(VM_A, STREAM));
	}

	@Test
	public void requestDuringLongOutageIsRefusedImmediately() {
		this.routers.isLogReadable = false;
		this.routers.advance(1_500);
		requestClaim(VM_A, "first");
		assertEquals(replyTo("first").verdict(), ClaimVerdict.UNAVAILABLE);
		this.routers.isLogReadable = true;
		this.routers.advance(10);
		acquireKey(VM_A, "second");
		assertEquals(countRecords(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void outageWhileNewOwnerReadsLogIsReported() {
		this.routers.isLogReadable = false;
		this.routers.setLiveRouters(VM_B, VM_B);
		requestClaim(VM_B, "first");
		this.routers.advance(1_000);
		assertEquals(replyTo("first").verdict(), ClaimVerdict.UNAVAILABLE);
		assertEquals(countRecords(ClaimCodec.CLAIM), 0);
	}

	@Test
	public void claimSurvivesLogRetention() {
		acquireKey(VM_A, "first");
		advanceWithRetention(15_000);
		assertEquals(countRetainedClaims("first"), 0);
		this.routers.setLiveRouters(VM_B, VM_B);
		advanceWithRetention(100);
		requestClaim(VM_B, "second");
		assertEquals(replyTo("second").verdict(), ClaimVerdict.HELD_BY_OTHER);
		advanceWithRetention(6_000);
		acquireKey(VM_B, "third");
	}

	@Test
	public void fastOwnerClockDoesNotExpireClaim() {
		acquireKey(VM_A, "first");
		this.routers.advance(SETTINGS.windowMillis() - 2_000);
		this.routers.setClockSkew(VM_A, 3_000);
		requestClaim(VM_A, "second");
		this.routers.advance(1_000);
		assertEquals(replyTo("second").verdict(), ClaimVerdict.UNAVAILABLE);
	}

	@Test
	public void idlePartitionStaysUsableAfterLogRetention() {
		acquireKey(VM_A, "first");
		advanceWithRetention(60_000);
		this.routers.setLiveRouters(VM_B, VM_B);
		this.routers.advance(50);
		acquireKey(VM_B, "second");
	}

	@Test
	public void checkpointsOfTwoOwnersKeepClaim() {
		acquireKey(VM_A, "first");
		this.routers.setLiveRouters(VM_B, VM_B);
		advanceWithRetention(9_000);
		assertTrue(countRecords(ClaimCodec.CHECKPOINT) >= 4,
				"number of checkpoints: " + countRecords(ClaimCodec.CHECKPOINT));
		this.routers.start(VM_B);
		this.routers.setLiveRouters(VM_B, VM_B);
		this.routers.advance(50);
		requestClaim(VM_B, "second");
		requestClaim(VM_A, "third");
		assertEquals(replyTo("second").holderVm().orElseThrow(), VM_A);
		assertEquals(replyTo("third").verdict(), ClaimVerdict.HELD_BY_OTHER);
	}

	@Test
	public void requestsAreRefusedForOneWindowAfterLogGap() {
		acquireKey(VM_A, "first");
		this.routers.setFrozen(VM_A, true);
		advanceWithRetention(6_000);
		this.routers.setLiveRouters(VM_B, VM_B);
		this.routers.advance(100);
		requestClaim(VM_B, "second");
		assertEquals(replyTo("second").verdict(), ClaimVerdict.UNAVAILABLE);
		assertTrue(replyTo("second").retryAfterMillis() > 19_000);
		this.routers.advance(20_600);
		acquireKey(VM_B, "third");
	}

	@Test
	public void fastNewOwnerClockDoesNotShortenLogGap() {
		acquireKey(VM_A, "first");
		this.routers.setFrozen(VM_A, true);
		advanceWithRetention(6_000);
		this.routers.setClockSkew(VM_B, 30_000);
		this.routers.setLiveRouters(VM_B, VM_B);
		this.routers.advance(100);
		this.routers.send(VM_A, VM_B, claimRequest("second", "body", this.routers.nowMillis + 35_000));
		this.routers.advance(1_000);
		assertEquals(replyTo("second").verdict(), ClaimVerdict.UNAVAILABLE);
		assertEquals(countRecords(ClaimCodec.CLAIM), 2);
	}

	@Test
	public void routerThatIsNotOwnerRepliesNotOwner() {
		requestClaim(VM_B, "first");
		assertEquals(replyTo("first").verdict(), ClaimVerdict.NOT_OWNER);
	}

	@Test
	public void claimsOfOneKeyCauseOneAppend() {
		for (int number = 0; number < 100; number++) {
			this.routers.send(VM_A, VM_A,
					claimRequest("attempt" + number, KEY, "body", this.routers.nowMillis + 5_000));
			this.routers.advance(10);
		}
		this.routers.advance(200);
		long grantedCount = this.routers.replies.stream()
			.filter((reply) -> reply.verdict() == ClaimVerdict.HELD)
			.count();
		assertEquals(grantedCount, 1);
		assertEquals(countRecords(ClaimCodec.CLAIM), 1);
	}

	@Test
	public void claimsOfManyKeysShareAppends() {
		int requestCount = 0;
		for (int number = 0; requestCount < 100; number++) {
			if (StreamName.claimPartition(Ownership.claimPartitionOf("k" + number)).equals(STREAM)) {
				this.routers.send(VM_A, VM_A,
						claimRequest("attempt" + number, "k" + number, "body", this.routers.nowMillis + 5_000));
				this.routers.advance(10);
				requestCount++;
			}
		}
		this.routers.advance(200);
		assertEquals(this.routers.replies.stream().filter((reply) -> reply.verdict() == ClaimVerdict.HELD).count(),
				100);
		long appendCount = this.routers.log.records(STREAM)
			.stream()
			.mapToLong(LogRecord::appendedAtMillis)
			.distinct()
			.count();
		assertTrue(appendCount <= 12, "number of appends: " + appendCount);
	}

	@Test
	public void invalidRecordsAreSkippedAndReported() {
		this.routers.log.write(STREAM,
				List.of(new RecordBody("claim.v9", new byte[1]),
						new RecordBody(ClaimCodec.CLAIM, "{\"claimKey\":\"key\"}".getBytes(StandardCharsets.UTF_8)),
						new RecordBody(ClaimCodec.CHECKPOINT, "null".getBytes(StandardCharsets.UTF_8))),
				this.routers.nowMillis);
		acquireKey(VM_A, "first");
		assertEquals(this.routers.events.size(), 3);
	}

	@Test
	public void flappingOwnershipDoesNotReadWindowAgain() {
		acquireKey(VM_A, "first");
		this.routers.setLiveRouters(VM_A, VM_B);
		requestClaim(VM_A, "second");
		assertEquals(replyTo("second").verdict(), ClaimVerdict.NOT_OWNER);
		this.routers.setLiveRouters(VM_A, VM_A);
		this.routers.isLogReadable = false;
		requestClaim(VM_A, "third");
		assertEquals(replyTo("third").verdict(), ClaimVerdict.HELD_BY_OTHER);
		assertFalse(this.routers.replies.isEmpty());
	}

}
