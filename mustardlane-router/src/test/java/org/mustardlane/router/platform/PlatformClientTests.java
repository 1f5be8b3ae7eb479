package org.mustardlane.router.platform;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.HashedWheelTimer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogReadFailed;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.VmState;
import org.mustardlane.router.platform.FakePlatform.Answer;
import org.mustardlane.router.worker.ActionTable;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of what the platform's answers and failures mean.
 */
public class PlatformClientTests {

	private static final AppendLog APPEND = new AppendLog(StreamName.CATALOGUE, "a-1",
			List.of(new RecordBody("change", new byte[] { 1, 2, 3 })));

	private static final String VMS = "{\"version\":3,\"vms\":[{\"vm\":\"v\",\"domain\":\"d\",\"host\":\"127.0.0.1\","
			+ "\"peerPort\":5,\"state\":\"LEAVING\"}]}";

	private final List<NodeEvent> events = new CopyOnWriteArrayList<>();

	private final HashedWheelTimer timeouts = new HashedWheelTimer();

	private EventLoopGroup loops;

	private ScheduledExecutorService timer;

	@BeforeMethod
	@SuppressWarnings("deprecation")
	public void start() {
		this.events.clear();
		this.loops = new NioEventLoopGroup(1);
		this.timer = Executors.newSingleThreadScheduledExecutor();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.timer.shutdownNow();
		this.loops.shutdownGracefully();
	}

	private LogAppendEnded append(String url) throws Exception {
		try (PlatformClient client = new PlatformClient(url, this.loops, this.timeouts)) {
			return client.append(APPEND).get(30, TimeUnit.SECONDS);
		}
	}

	@DataProvider
	public Object[][] appendAnswers() {
		return new Object[][] { { new Answer(200, "{\"firstOffset\":41}"), AppendResult.APPENDED, 41 },
				{ new Answer(503, "{}"), AppendResult.REJECTED, -1 },
				{ new Answer(500, "{}"), AppendResult.UNKNOWN, -1 },
				{ new Answer(200, "not json"), AppendResult.UNKNOWN, -1 },
				{ new Answer(0, ""), AppendResult.UNKNOWN, -1 } };
	}

	@Test(dataProvider = "appendAnswers")
	public void answerToAnAppendMeansItsResult(Answer answer, AppendResult result, long offset) throws Exception {
		try (FakePlatform platform = new FakePlatform((number, call) -> answer)) {
			assertEquals(append(platform.url()), new LogAppendEnded(StreamName.CATALOGUE, "a-1", result, offset));
			assertEquals(platform.calls(), List
				.of("POST /streams/catalogue/records " + "{\"records\":[{\"type\":\"change\",\"body\":\"AQID\"}]}"));
		}
	}

	@Test
	public void refusedConnectionMeansThatNothingWasAppended() throws Exception {
		FakePlatform platform = new FakePlatform((number, call) -> new Answer(200, "{}"));
		platform.close();
		assertEquals(append(platform.url()).result(), AppendResult.REJECTED);
	}

	private static Answer records(long next, long end, String records) {
		return new Answer(200, "{\"firstRetainedOffset\":1,\"nextOffset\":" + next + ",\"endOffset\":" + end
				+ ",\"records\":[" + records + "]}");
	}

	@Test
	public void followedStreamIsReadOnOverFailures() throws Exception {
		String first = "{\"offset\":4,\"appendedAtMillis\":9,\"type\":\"t\",\"body\":\"AQID\"}";
		String second = "{\"offset\":5,\"appendedAtMillis\":9,\"type\":\"t\",\"body\":\"\"}";
		try (FakePlatform platform = new FakePlatform((number, call) -> switch (number) {
			case 1 -> records(5, 6, first);
			case 2 -> new Answer(503, "{}");
			case 3 -> records(6, 6, second.replace("\"\"", "\"!\""));
			case 4 -> records(6, 6, second);
			default -> records(6, 6, "");
		}); PlatformClient client = new PlatformClient(platform.url(), this.loops, this.timeouts)) {
			ActionTable actions = new ActionTable();
			new StreamFollowers(client, this.events::add, this.timer).register(actions);
			actions.execute(new FollowStream(StreamName.ORDERS, 4));
			await().until(() -> this.events.size() >= 5);
			actions.execute(new UnfollowStream(StreamName.ORDERS));
			LogRecordsRead read = (LogRecordsRead) this.events.get(0);
			assertEquals(read.records().get(0).body(), new byte[] { 1, 2, 3 });
			assertFalse(read.endReached());
			assertTrue(this.events.get(1) instanceof LogReadFailed);
			assertTrue(this.events.get(2) instanceof LogReadFailed, "a body that is not base64");
			assertEquals(((LogRecordsRead) this.events.get(3)).records().get(0).offset(), 5);
			assertTrue(((LogRecordsRead) this.events.get(3)).endReached());
			assertTrue(platform.calls().get(0).startsWith("GET /streams/orders/records?from=4&"));
			assertTrue(platform.calls().get(3).startsWith("GET /streams/orders/records?from=5&"));
			assertTrue(platform.calls().get(4).startsWith("GET /streams/orders/records?from=6&"));
		}
	}

	@Test
	public void unchangedVmListIsReadOnce() throws IOException {
		try (FakePlatform platform = new FakePlatform(
				(number, call) -> (number == 1) ? new Answer(200, VMS) : new Answer(304, ""));
				PlatformClient client = new PlatformClient(platform.url(), this.loops, this.timeouts)) {
			VmListPoller poller = new VmListPoller(client, this.events::add);
			poller.poll();
			await().until(() -> !this.events.isEmpty());
			poller.poll();
			await().until(() -> platform.calls().size() == 2);
			VmListRead read = (VmListRead) this.events.get(0);
			assertEquals(read.vmList().version(), 3);
			assertEquals(read.vmList().entries().get(0).state(), VmState.LEAVING);
			assertEquals(this.events.size(), 1);
		}
	}

	@Test
	public void brokenVmListIsPassedOver() throws IOException {
		try (FakePlatform platform = new FakePlatform(
				(number, call) -> new Answer(200, (number == 1) ? VMS.replace("LEAVING", "DANCING") : VMS));
				PlatformClient client = new PlatformClient(platform.url(), this.loops, this.timeouts)) {
			VmListPoller poller = new VmListPoller(client, this.events::add);
			poller.poll();
			await().until(() -> platform.calls().size() == 1);
			poller.poll();
			await().until(() -> !this.events.isEmpty());
			assertEquals(this.events.size(), 1);
		}
	}

}
