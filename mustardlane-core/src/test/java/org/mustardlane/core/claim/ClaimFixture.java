package org.mustardlane.core.claim;

import java.nio.charset.StandardCharsets;

import org.testng.annotations.BeforeMethod;

import org.mustardlane.core.message.ClaimAnswer;
import org.mustardlane.core.message.ClaimAsk;
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

	static final VmId A = new VmId("a");

	static final VmId B = new VmId("b");

	static final String KEY = "key";

	static final StreamName STREAM = StreamName.claims(Ownership.partitionOf(KEY));

	FakeRouters routers;

	@BeforeMethod
	public void startRouters() {
		this.routers = new FakeRouters(SETTINGS, "a", "b");
		this.routers.view(A, A);
		this.routers.pass(50);
	}

	void claim(VmId owner, String attemptId) {
		ask(owner, attemptId);
		this.routers.pass(300);
		assertEquals(answer(attemptId).verdict(), ClaimVerdict.HELD);
		this.routers.answers.removeIf((answer) -> answer.attemptId().equals(attemptId));
	}

	void ask(VmId owner, String attemptId) {
		this.routers.send(A, owner, askOf(attemptId, "body", this.routers.nowMillis + 5_000));
	}

	static ClaimAsk askOf(String attemptId, String body, long deadlineMillis) {
		return askOf(attemptId, KEY, body, deadlineMillis);
	}

	static ClaimAsk askOf(String attemptId, String key, String body, long deadlineMillis) {
		return new ClaimAsk(new RequestId("request-" + attemptId), attemptId, key,
				body.getBytes(StandardCharsets.UTF_8), deadlineMillis);
	}

	ClaimAnswer answer(String attemptId) {
		return this.routers.answers.stream()
			.filter((answer) -> answer.attemptId().equals(attemptId))
			.findFirst()
			.orElseThrow(() -> new AssertionError("no answer for " + attemptId));
	}

	long answers(String attemptId) {
		return this.routers.answers.stream().filter((answer) -> answer.attemptId().equals(attemptId)).count();
	}

	long records(String type) {
		return this.routers.log.records(STREAM).stream().filter((record) -> record.type().equals(type)).count();
	}

	long claimsInLog(String attemptId) {
		return this.routers.log.read(STREAM, 1, Integer.MAX_VALUE / 2)
			.records()
			.stream()
			.filter((record) -> record.type().equals(ClaimCodec.CLAIM))
			.filter((record) -> new String(record.body(), StandardCharsets.UTF_8).contains(attemptId))
			.count();
	}

	void passWithRetention(long millis) {
		long endMillis = this.routers.nowMillis + millis;
		while (this.routers.nowMillis < endMillis) {
			this.routers.pass(100);
			this.routers.log.cutBefore(this.routers.nowMillis - 4_000);
		}
	}

}
