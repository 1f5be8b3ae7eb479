package org.mustardlane.gateway.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.core.quarantine.Quarantine;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.SnapshotPage;
import org.mustardlane.gateway.knowledge.Topic;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogRateLimiter;
import org.mustardlane.gateway.standin.FakeRecordLog;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of storing quarantines in the record log and reading them.
 */
public class QuarantineRecordsTests {

	private static final long END_UNIX_MILLIS = 600_000;

	private static final Quarantine QUARANTINE = new Quarantine(Set.of(new CallFeature("a"), new CallFeature("b")),
			END_UNIX_MILLIS);

	private final AtomicLong nowMillis = new AtomicLong();

	private FakeRecordLog recordLog;

	private EventLoop loop;

	private CallQuarantine quarantine;

	private QuarantineRecords records;

	@BeforeMethod
	public void setUp() {
		this.nowMillis.set(0);
		this.recordLog = new FakeRecordLog();
		this.loop = new DefaultEventLoop();
		DecisionLog log = new DecisionLog(new LogRateLimiter(100, this.nowMillis::get), this.nowMillis::get);
		this.quarantine = new CallQuarantine(this.nowMillis::get, this.nowMillis::get, log);
		this.records = new QuarantineRecords(this.quarantine, this.recordLog, this.loop, log);
	}

	@AfterMethod
	public void tearDown() {
		this.loop.shutdownGracefully();
	}

	private List<KeyedRecord> storedRecords() {
		SnapshotPage page = this.recordLog.readSnapshot(Topic.QUARANTINES, Optional.empty())
			.toCompletableFuture()
			.join();
		return page.records();
	}

	@Test
	public void decisionIsStoredOnceTheLogIsAvailableAndReadByAnotherRouter() {
		this.recordLog.setUnavailable(true);
		this.loop.execute(() -> {
			this.quarantine.add(QUARANTINE, "test");
			this.records.onDecision(QUARANTINE);
		});
		this.recordLog.setUnavailable(false);
		await().until(() -> !storedRecords().isEmpty());
		setUpReader();
		this.records.onSnapshot(storedRecords(), new LogPosition(0, 1));
		assertEquals(this.quarantine.active(), List.of(QUARANTINE));
	}

	@Test
	public void storedQuarantineThatARestorationOfTheLogLosesIsStoredAgain() {
		this.loop.execute(() -> {
			this.quarantine.add(QUARANTINE, "test");
			this.records.onDecision(QUARANTINE);
		});
		await().until(() -> !storedRecords().isEmpty());
		this.loop.execute(() -> this.records.onSnapshot(storedRecords(), new LogPosition(0, 1)));
		this.recordLog.restore(Topic.QUARANTINES, 0);
		this.loop.execute(() -> {
			this.records.onRestored(new LogPosition(0, 1), new LogPosition(1, 0));
			this.records.onSnapshot(List.of(), new LogPosition(1, 0));
		});
		await().until(() -> !storedRecords().isEmpty());
	}

	private void setUpReader() {
		DecisionLog log = new DecisionLog(new LogRateLimiter(100, this.nowMillis::get), this.nowMillis::get);
		this.quarantine = new CallQuarantine(this.nowMillis::get, this.nowMillis::get, log);
		this.records = new QuarantineRecords(this.quarantine, this.recordLog, this.loop, log);
	}

	@Test
	public void endedQuarantineIsNotTakenOver() {
		byte[] body = QuarantineRecords.encode(QUARANTINE).toByteArray();
		this.nowMillis.set(END_UNIX_MILLIS);
		this.records.onRecords(List.of(new KeyedRecord("key", new LogPosition(0, 1), Optional.of(body))));
		assertEquals(this.quarantine.active(), List.of());
	}

	@Test
	public void malformedRecordsAreRejectedAndTheOthersHold() {
		byte[] body = QuarantineRecords.encode(QUARANTINE).toByteArray();
		Random random = new Random(1);
		for (int round = 0; round < 2000; round++) {
			byte[] mutated = body.clone();
			mutated[random.nextInt(mutated.length)] = (byte) random.nextInt();
			this.records.onRecords(List.of(new KeyedRecord("key", new LogPosition(0, round), Optional.of(mutated))));
		}
		this.records.onRecords(List.of(new KeyedRecord("empty", new LogPosition(0, 1), Optional.of(new byte[0])),
				new KeyedRecord("removed", new LogPosition(0, 2), Optional.empty()),
				new KeyedRecord("key", new LogPosition(0, 3), Optional.of(body))));
		assertTrue(this.quarantine.find(List.copyOf(QUARANTINE.features())).isPresent());
	}

}
