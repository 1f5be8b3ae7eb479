package org.mustardlane.gateway.knowledge;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.gateway.standin.FakeRecordLog;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

/**
 * Tests of following a topic through outages and dropped history.
 */
public class TopicFollowerTests {

	private EventLoopGroup loops;

	private FakeRecordLog log;

	private Seen seen;

	private TopicFollower follower;

	@BeforeMethod
	public void open() {
		this.loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.log = new FakeRecordLog();
		this.seen = new Seen();
		this.follower = new TopicFollower(this.log, Topic.TARGETS, new FollowPace(0, 5), this.seen, this.loops.next());
	}

	@AfterMethod
	public void close() {
		this.loops.shutdownGracefully();
	}

	private void write(String key, String text) {
		this.log.write(Topic.TARGETS, key, Optional.of(text.getBytes(StandardCharsets.UTF_8)));
	}

	private void start() {
		this.loops.next().execute(this.follower::start);
	}

	private void awaitValue(String key, String text) {
		await().until(() -> text.equals(this.seen.values.get(key)));
	}

	@Test
	public void listingOfSeveralPagesIsReadWhole() {
		this.log.setPageSize(2);
		for (int index = 0; index < 5; index++) {
			write("key-" + index, "value");
		}
		start();
		await().until(() -> this.seen.values.size() == 5);
		assertEquals(this.seen.listings.get(), 1);
	}

	@Test
	public void laterRecordsAreReadInOrder() {
		write("key", "one");
		start();
		awaitValue("key", "one");
		write("key", "two");
		write("key", "three");
		awaitValue("key", "three");
	}

	@Test
	public void droppedHistoryIsReplacedByANewListing() {
		write("key", "one");
		start();
		awaitValue("key", "one");
		this.log.setDown(true);
		await().until(() -> this.seen.losses.get() > 0);
		write("key", "two");
		this.log.compact(Topic.TARGETS);
		this.log.setDown(false);
		awaitValue("key", "two");
		await().until(() -> this.seen.returns.get() == 1);
	}

	@Test
	public void historyDroppedWithoutAnOutageIsNoticed() {
		write("key", "one");
		start();
		awaitValue("key", "one");
		int before = this.seen.listings.get();
		synchronized (this.log) {
			write("key", "two");
			write("other", "three");
			this.log.compact(Topic.TARGETS);
		}
		awaitValue("other", "three");
		await().until(() -> this.seen.listings.get() > before);
		assertEquals(this.seen.losses.get(), 0);
	}

	private static final class Seen implements TopicListener {

		private final Map<String, String> values = new ConcurrentHashMap<>();

		private final AtomicInteger listings = new AtomicInteger();

		private final AtomicInteger losses = new AtomicInteger();

		private final AtomicInteger returns = new AtomicInteger();

		@Override
		public void listed(List<KeyedRecord> records, long endOffset) {
			this.listings.incrementAndGet();
			changed(records);
		}

		@Override
		public void changed(List<KeyedRecord> records) {
			records.forEach((row) -> row.body()
				.ifPresent((body) -> this.values.put(row.key(), new String(body, StandardCharsets.UTF_8))));
		}

		@Override
		public void lost(String reason) {
			this.losses.incrementAndGet();
		}

		@Override
		public void regained() {
			this.returns.incrementAndGet();
		}

	}

}
