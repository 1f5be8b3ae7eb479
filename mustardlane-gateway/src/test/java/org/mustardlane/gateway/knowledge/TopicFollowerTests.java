package org.mustardlane.gateway.knowledge;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogRateLimiter;
import org.mustardlane.gateway.standin.FakeRecordLog;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

/**
 * Tests of following a topic across outages of the log and compaction of its history.
 */
public class TopicFollowerTests {

	private EventLoopGroup loops;

	private FakeRecordLog recordLog;

	private RecordingListener listener;

	private TopicFollower follower;

	private LogConnections connections;

	@BeforeMethod
	public void open() {
		this.connections = new LogConnections(new DecisionLog(new LogRateLimiter(100, () -> 0), () -> 0));
		this.loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.recordLog = new FakeRecordLog();
		this.listener = new RecordingListener();
		this.follower = new TopicFollower(this.recordLog, Topic.TARGETS, new ReadPolicy(0, 5), this.listener,
				this.loops.next(), new LogEpoch(), this.connections);
	}

	@AfterMethod
	public void close() {
		this.loops.shutdownGracefully();
	}

	private void write(String key, String text) {
		this.recordLog.write(Topic.TARGETS, key, Optional.of(text.getBytes(StandardCharsets.UTF_8)));
	}

	private void start() {
		this.loops.next().execute(this.follower::start);
	}

	private void awaitValue(String key, String text) {
		await().until(() -> text.equals(this.listener.values.get(key)));
	}

	@Test
	public void snapshotOfSeveralPagesIsReadCompletely() {
		this.recordLog.setPageSize(2);
		for (int index = 0; index < 5; index++) {
			write("key-" + index, "value");
		}
		start();
		await().until(() -> this.listener.values.size() == 5);
		assertEquals(this.listener.snapshotCount.get(), 1);
	}

	@Test
	public void recordsAfterTheSnapshotAreReadInOrder() {
		write("key", "one");
		start();
		awaitValue("key", "one");
		write("key", "two");
		write("key", "three");
		awaitValue("key", "three");
	}

	@Test
	public void historyCompactedDuringAnOutageIsReplacedByANewSnapshot() {
		write("key", "one");
		start();
		awaitValue("key", "one");
		this.recordLog.setUnavailable(true);
		await().until(() -> this.listener.outageCount.get() > 0);
		write("key", "two");
		this.recordLog.compact(Topic.TARGETS);
		this.recordLog.setUnavailable(false);
		awaitValue("key", "two");
		await().until(() -> this.listener.recoveryCount.get() == 1);
	}

	@Test
	public void historyCompactedWithoutAnOutageIsReplacedByANewSnapshot() {
		write("key", "one");
		start();
		awaitValue("key", "one");
		int previousCount = this.listener.snapshotCount.get();
		synchronized (this.recordLog) {
			write("key", "two");
			write("other", "three");
			this.recordLog.compact(Topic.TARGETS);
		}
		awaitValue("other", "three");
		await().until(() -> this.listener.snapshotCount.get() > previousCount);
		assertEquals(this.listener.outageCount.get(), 0);
	}

	@Test
	public void recordAtAnOffsetThatIsAssignedAgainIsNotSkipped() {
		write("key", "one");
		write("key", "two");
		start();
		awaitValue("key", "two");
		synchronized (this.recordLog) {
			this.recordLog.restore(Topic.TARGETS, 1);
			write("other", "three");
			write("key", "four");
		}
		awaitValue("key", "four");
		awaitValue("other", "three");
	}

	@Test
	public void followerThatNoticesNoOutageStartsAnewWhenAnotherOneSeesTheRestoration() {
		LogEpoch logEpoch = new LogEpoch();
		RecordingListener waitingListener = new RecordingListener();
		TopicFollower waiting = new TopicFollower(this.recordLog, Topic.ROUTERS, new ReadPolicy(0, 600_000),
				waitingListener, this.loops.next(), logEpoch, this.connections);
		TopicFollower polling = new TopicFollower(this.recordLog, Topic.TARGETS, new ReadPolicy(0, 5), this.listener,
				this.loops.next(), logEpoch, this.connections);
		write("key", "one");
		this.loops.next().execute(waiting::start);
		this.loops.next().execute(polling::start);
		awaitValue("key", "one");
		await().until(() -> waitingListener.snapshotCount.get() == 1);
		this.recordLog.restore(Topic.TARGETS, 0);
		await().until(() -> waitingListener.restorationCount.get() == 1 && waitingListener.snapshotCount.get() == 2);
		assertEquals(waitingListener.outageCount.get(), 0);
	}

	@DataProvider
	public Object[][] unexpectedFailures() {
		return new Object[][] { { new IllegalStateException("unexpected record") }, { new StackOverflowError() },
				{ new OutOfMemoryError() } };
	}

	// Guards against an error that ends the chain of reads for good (review/1).
	@Test(dataProvider = "unexpectedFailures")
	public void unexpectedFailureOfTheListenerDoesNotEndTheReads(Throwable failure) {
		write("key", "one");
		start();
		awaitValue("key", "one");
		this.listener.nextFailure.set(failure);
		write("key", "two");
		awaitValue("key", "two");
		write("key", "three");
		awaitValue("key", "three");
	}

	@Test(dataProvider = "unexpectedFailures")
	public void unexpectedFailureOfTheClientDoesNotEndTheReads(Throwable failure) {
		write("key", "one");
		start();
		awaitValue("key", "one");
		this.recordLog.throwOnNextRead(failure);
		await().until(() -> this.listener.outageCount.get() > 0);
		write("key", "two");
		awaitValue("key", "two");
	}

	@Test(dataProvider = "unexpectedFailures")
	public void listenerThatFailsToHearOfAnOutageDoesNotEndTheReads(Throwable failure) {
		write("key", "one");
		start();
		awaitValue("key", "one");
		this.listener.outageFailure.set(failure);
		this.recordLog.setUnavailable(true);
		await().until(() -> this.listener.outageCount.get() > 0);
		this.recordLog.setUnavailable(false);
		write("key", "two");
		awaitValue("key", "two");
	}

	@SuppressWarnings("unchecked")
	private static <T extends Throwable> void throwUnchecked(Throwable failure) throws T {
		throw (T) failure;
	}

	// Guards against a change that is not noticed while the connections to the log are
	// silent (review/5).
	@Test
	public void topicIsFollowedOverNewConnectionsIfTheOldOnesGoSilent() {
		write("key", "one");
		start();
		awaitValue("key", "one");
		this.recordLog.silenceConnections();
		write("key", "two");
		awaitValue("key", "two");
		assertEquals(this.listener.outageCount.get(), 0);
	}

	// Guards against a long poll on a silent connection that goes on to its end although
	// another read has noticed the silence (review/5).
	@Test
	public void longPollIsSentAgainWhenAnotherReadNoticesTheSilence() {
		RecordingListener waitingListener = new RecordingListener();
		TopicFollower waiting = new TopicFollower(this.recordLog, Topic.ROUTES, new ReadPolicy(600_000, 0),
				waitingListener, this.loops.next(), new LogEpoch(), this.connections);
		this.loops.next().execute(waiting::start);
		start();
		await().until(() -> waitingListener.snapshotCount.get() == 1 && this.listener.snapshotCount.get() == 1);
		this.recordLog.silenceConnections();
		this.recordLog.write(Topic.ROUTES, "routes", Optional.of("new".getBytes(StandardCharsets.UTF_8)));
		await().until(() -> "new".equals(waitingListener.values.get("routes")));
		assertEquals(waitingListener.outageCount.get(), 0);
	}

	@Test
	public void snapshotIsReadOverANewConnectionIfTheOldOneIsSilent() {
		write("key", "one");
		this.recordLog.silenceConnections();
		start();
		awaitValue("key", "one");
		assertEquals(this.listener.outageCount.get(), 0);
	}

	private static final class RecordingListener implements TopicListener {

		private final Map<String, String> values = new ConcurrentHashMap<>();

		private final AtomicReference<Throwable> nextFailure = new AtomicReference<>();

		private final AtomicReference<Throwable> outageFailure = new AtomicReference<>();

		private final AtomicInteger snapshotCount = new AtomicInteger();

		private final AtomicInteger outageCount = new AtomicInteger();

		private final AtomicInteger restorationCount = new AtomicInteger();

		private final AtomicInteger recoveryCount = new AtomicInteger();

		@Override
		public void onSnapshot(List<KeyedRecord> records, LogPosition end) {
			this.snapshotCount.incrementAndGet();
			onRecords(records);
		}

		@Override
		public void onRecords(List<KeyedRecord> records) {
			if (!records.isEmpty()) {
				throwOnce(this.nextFailure);
			}
			records.forEach((logRecord) -> logRecord.body()
				.ifPresent((body) -> this.values.put(logRecord.key(), new String(body, StandardCharsets.UTF_8))));
		}

		private static void throwOnce(AtomicReference<Throwable> reference) {
			Throwable failure = reference.getAndSet(null);
			if (failure != null) {
				TopicFollowerTests.<RuntimeException>throwUnchecked(failure);
			}
		}

		@Override
		public void onRestored(LogPosition before, LogPosition end) {
			this.restorationCount.incrementAndGet();
		}

		@Override
		public void onUnavailable(String reason) {
			this.outageCount.incrementAndGet();
			throwOnce(this.outageFailure);
		}

		@Override
		public void onAvailable() {
			this.recoveryCount.incrementAndGet();
		}

	}

}
