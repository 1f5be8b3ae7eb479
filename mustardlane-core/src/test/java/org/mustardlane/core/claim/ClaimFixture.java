package org.mustardlane.core.claim;

import java.nio.charset.StandardCharsets;

import org.testng.annotations.BeforeMethod;

import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;

import static org.testng.Assert.assertEquals;

/**
 * Base class of claim tests with two routers that share one log.
 */
public abstract class ClaimFixture {

	static final ClaimSettings SETTINGS = new ClaimSettings(20_000, 1_000, 50, 500, 100, 2_000, 500, 20, 1_000, 1_000,
			10_000, 4_096, 65_536);

	static final VmId VM_A = new VmId("a");

	static final VmId VM_B = new VmId("b");

	static final String KEY = "key";

	static final StreamName STREAM = StreamName.claimPartition(Ownership.claimPartitionOf(KEY));

	FakeRouters routers;

	@BeforeMethod
	public void startRouters() {
		this.routers = new FakeRouters(SETTINGS, "a", "b");
		this.routers.setLiveRouters(VM_A, VM_A);
		this.routers.advance(50);
	}

	void acquireKey(VmId owner, String attemptId) {
		requestClaim(owner, attemptId);
		this.routers.advance(300);
		assertEquals(replyTo(attemptId).verdict(), ClaimVerdict.HELD);
		this.routers.replies.removeIf((reply) -> reply.attemptId().equals(attemptId));
	}

	void requestClaim(VmId owner, String attemptId) {
		this.routers.send(VM_A, owner, claimRequest(attemptId, "body", this.routers.nowMillis + 5_000));
	}

	static ClaimRequest claimRequest(String attemptId, String body, long deadlineMillis) {
		return claimRequest(attemptId, KEY, body, deadlineMillis);
	}

	static ClaimRequest claimRequest(String attemptId, String key, String body, long deadlineMillis) {
		return new ClaimRequest(new RequestId("request-" + attemptId), attemptId, key,
				body.getBytes(StandardCharsets.UTF_8), deadlineMillis);
	}

	ClaimReply replyTo(String attemptId) {
		return this.routers.replies.stream()
			.filter((reply) -> reply.attemptId().equals(attemptId))
			.findFirst()
			.orElseThrow(() -> new AssertionError("no reply for " + attemptId));
	}

	long countReplies(String attemptId) {
		return this.routers.replies.stream().filter((reply) -> reply.attemptId().equals(attemptId)).count();
	}

	long countRecords(String type) {
		return this.routers.log.records(STREAM).stream().filter((record) -> record.type().equals(type)).count();
	}

	long countRetainedClaims(String attemptId) {
		return this.routers.log.read(STREAM, 1, Integer.MAX_VALUE / 2)
			.records()
			.stream()
			.filter((record) -> record.type().equals(ClaimCodec.CLAIM))
			.filter((record) -> new String(record.body(), StandardCharsets.UTF_8).contains(attemptId))
			.count();
	}

	void advanceWithRetention(long millis) {
		long endMillis = this.routers.nowMillis + millis;
		while (this.routers.nowMillis < endMillis) {
			this.routers.advance(100);
			this.routers.log.removeBefore(this.routers.nowMillis - 4_000);
		}
	}

}
