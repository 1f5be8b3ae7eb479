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
import org.mustardlane.router.platform.FakePlatform.PreparedResponse;
import org.mustardlane.router.worker.ActionTable;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests which results and events follow from responses and failures of the platform.
 */
public class PlatformClientTests {

	private static final AppendLog APPEND_ACTION = new AppendLog(StreamName.CATALOGUE, "a-1",
			List.of(new RecordBody("change", new byte[] { 1, 2, 3 })));

	private static final String VM_LIST = "{\"version\":3,\"vms\":[{\"vm\":\"v\",\"domain\":\"d\",\"host\":\"127.0.0.1\","
			+ "\"peerPort\":5,\"state\":\"LEAVING\"}]}";

	private final List<NodeEvent> events = new CopyOnWriteArrayList<>();

	private final HashedWheelTimer timeoutTimer = new HashedWheelTimer();

	private EventLoopGroup eventLoops;

	private ScheduledExecutorService scheduler;

	@BeforeMethod
	@SuppressWarnings("deprecation")
	public void start() {
		this.events.clear();
		this.eventLoops = new NioEventLoopGroup(1);
		this.scheduler = Executors.newSingleThreadScheduledExecutor();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.scheduler.shutdownNow();
		this.eventLoops.shutdownGracefully();
	}

	private LogAppendEnded append(String url) throws Exception {
		try (PlatformClient client = new PlatformClient(url, this.eventLoops, this.timeoutTimer)) {
			return client.append(APPEND_ACTION).get(30, TimeUnit.SECONDS);
		}
	}

	@DataProvider
	public Object[][] appendResponses() {
		return new Object[][] { { new PreparedResponse(200, "{\"firstOffset\":41}"), AppendResult.APPENDED, 41 },
				{ new PreparedResponse(503, "{}"), AppendResult.REJECTED, -1 },
				{ new PreparedResponse(500, "{}"), AppendResult.UNKNOWN, -1 },
				{ new PreparedResponse(200, "not json"), AppendResult.UNKNOWN, -1 },
				{ new PreparedResponse(0, ""), AppendResult.UNKNOWN, -1 } };
	}

	@Test(dataProvider = "appendResponses")
	public void responseDeterminesAppendResult(PreparedResponse response, AppendResult result, long offset)
			throws Exception {
		try (FakePlatform platform = new FakePlatform((number, request) -> response)) {
			assertEquals(append(platform.url()), new LogAppendEnded(StreamName.CATALOGUE, "a-1", result, offset));
			assertEquals(platform.requests(), List
				.of("POST /streams/catalogue/records " + "{\"records\":[{\"type\":\"change\",\"body\":\"AQID\"}]}"));
		}
	}

	@Test
	public void refusedConnectionRejectsAppend() throws Exception {
		FakePlatform platform = new FakePlatform((number, request) -> new PreparedResponse(200, "{}"));
		platform.close();
		assertEquals(append(platform.url()).result(), AppendResult.REJECTED);
	}

	private static PreparedResponse recordsResponse(long nextOffset, long endOffset, String records) {
		return new PreparedResponse(200, "{\"firstRetainedOffset\":1,\"nextOffset\":" + nextOffset + ",\"endOffset\":"
				+ endOffset + ",\"records\":[" + records + "]}");
	}

	@Test
	public void followedStreamIsReadAfterFailures() throws Exception {
		String firstRecord = "{\"offset\":4,\"appendedAtMillis\":9,\"type\":\"t\",\"body\":\"AQID\"}";
		String secondRecord = "{\"offset\":5,\"appendedAtMillis\":9,\"type\":\"t\",\"body\":\"\"}";
		try (FakePlatform platform = new FakePlatform((number, request) -> switch (number) {
			case 1 -> recordsResponse(5, 6, firstRecord);
			case 2 -> new PreparedResponse(503, "{}");
			case 3 -> recordsResponse(6, 6, secondRecord.replace("\"\"", "\"!\""));
			case 4 -> recordsResponse(6, 6, secondRecord);
			default -> recordsResponse(6, 6, "");
		}); PlatformClient client = new PlatformClient(platform.url(), this.eventLoops, this.timeoutTimer)) {
			ActionTable actions = new ActionTable();
			new StreamFollowers(client, this.events::add, this.scheduler).register(actions);
			actions.execute(new FollowStream(StreamName.ORDERS, 4));
			await().until(() -> this.events.size() >= 5);
			actions.execute(new UnfollowStream(StreamName.ORDERS));
			LogRecordsRead firstRead = (LogRecordsRead) this.events.get(0);
			assertEquals(firstRead.records().get(0).body(), new byte[] { 1, 2, 3 });
			assertFalse(firstRead.endReached());
			assertTrue(this.events.get(1) instanceof LogReadFailed);
			assertTrue(this.events.get(2) instanceof LogReadFailed, "a body that is not base64 is not reported");
			assertEquals(((LogRecordsRead) this.events.get(3)).records().get(0).offset(), 5);
			assertTrue(((LogRecordsRead) this.events.get(3)).endReached());
			assertTrue(platform.requests().get(0).startsWith("GET /streams/orders/records?from=4&"));
			assertTrue(platform.requests().get(3).startsWith("GET /streams/orders/records?from=5&"));
			assertTrue(platform.requests().get(4).startsWith("GET /streams/orders/records?from=6&"));
		}
	}

	@Test
	public void unchangedVmListIsSubmittedOnce() throws IOException {
		try (FakePlatform platform = new FakePlatform((number, request) -> (number == 1)
				? new PreparedResponse(200, VM_LIST) : new PreparedResponse(304, ""));
				PlatformClient client = new PlatformClient(platform.url(), this.eventLoops, this.timeoutTimer)) {
			VmListPoller poller = new VmListPoller(client, this.events::add);
			poller.poll();
			await().until(() -> !this.events.isEmpty());
			poller.poll();
			await().until(() -> platform.requests().size() == 2);
			VmListRead event = (VmListRead) this.events.get(0);
			assertEquals(event.vmList().version(), 3);
			assertEquals(event.vmList().entries().get(0).state(), VmState.LEAVING);
			assertEquals(this.events.size(), 1);
		}
	}

	@Test
	public void malformedVmListIsIgnored() throws IOException {
		try (FakePlatform platform = new FakePlatform((number, request) -> new PreparedResponse(200,
				(number == 1) ? VM_LIST.replace("LEAVING", "NO_SUCH_STATE") : VM_LIST));
				PlatformClient client = new PlatformClient(platform.url(), this.eventLoops, this.timeoutTimer)) {
			VmListPoller poller = new VmListPoller(client, this.events::add);
			poller.poll();
			await().until(() -> platform.requests().size() == 1);
			poller.poll();
			await().until(() -> !this.events.isEmpty());
			assertEquals(this.events.size(), 1);
		}
	}

}
