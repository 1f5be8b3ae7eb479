package org.mustardlane.router.caller;

import java.io.IOException;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;
import org.mustardlane.router.answer.ResponseHead;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests the HTTP contract with callers over TCP connections.
 */
public class CallerServerTests {

	private static final int IDLE_MILLIS = 60_000;

	private static final ResponseHead STREAM_HEAD = new ResponseHead(200, "text/plain", OptionalLong.empty());

	private CallerFixture fixture;

	@BeforeMethod
	public void startServer() throws IOException {
		this.fixture = new CallerFixture(IDLE_MILLIS);
	}

	@AfterMethod(alwaysRun = true)
	public void stopServer() {
		this.fixture.close();
	}

	@Test
	public void listenerReceivesHeadersAndBody() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("hello", "X-Chat-Id: c1", "Idempotency-Key: k1", "X-Timeout-Millis: 500"));
			FakeListener.ArrivedRequest arrived = this.fixture.listener().take();
			assertEquals(arrived.request().organisation().value(), "harrow");
			assertEquals(arrived.request().organisationKey(), "secret");
			assertEquals(arrived.request().entry().value(), "chat");
			assertEquals(arrived.request().chatId().orElseThrow(), "c1");
			assertEquals(arrived.request().idempotencyKey().orElseThrow(), "k1");
			assertEquals(arrived.request().deadlineMillis().orElseThrow().longValue(),
					arrived.request().arrivedAtMillis() + 500);
			assertEquals(arrived.request().bodyBytes(), 5);
			assertEquals(arrived.request().bodyDigest(), BodyDigest.of("hello".getBytes()));
			assertEquals(new String(arrived.payload().body()), "hello");
		}
	}

	@Test
	public void smallResponseIsSentWithLengthAndOutcome() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("hello", "Connection: close"));
			this.fixture.listener().take().respondWith("world");
			String response = caller.readToEnd();
			assertTrue(response.startsWith("HTTP/1.1 200"), response);
			assertTrue(response.contains("X-Outcome: answered"), response);
			assertTrue(response.contains("content-length: 5"), response);
			assertTrue(response.endsWith("\r\n\r\nworld"), response);
		}
	}

	@Test
	public void streamEndsWithItsOutcomeInATrailer() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("hello", "Connection: close"));
			CallerResponse response = this.fixture.listener().take().response();
			response.begin(STREAM_HEAD);
			response.write("token".getBytes(), () -> {
			});
			response.finish();
			String text = caller.readToEnd();
			assertTrue(text.contains("X-Outcome: pending"), text);
			assertTrue(text.contains("trailer: X-Outcome"), text);
			assertTrue(text.endsWith("5\r\ntoken\r\n0\r\nX-Outcome: answered\r\n\r\n"), text);
		}
	}

	@Test
	public void brokenStreamEndsWithoutItsLastChunk() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("hello"));
			CallerResponse response = this.fixture.listener().take().response();
			response.begin(STREAM_HEAD);
			response.write("token".getBytes(), () -> {
			});
			response.abort(new Refusal(Outcome.UNKNOWN, RefusalCode.TARGET_FAILED, "gone", 0));
			assertTrue(caller.readToEnd().endsWith("5\r\ntoken\r\n"));
		}
	}

	@Test
	public void refusalContainsOutcomeCodeAndRetryDelay() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("hello", "Connection: close"));
			this.fixture.listener()
				.take()
				.response()
				.abort(new Refusal(Outcome.NOT_RUN, RefusalCode.OVERLOADED, "busy", 1001));
			String response = caller.readToEnd();
			assertTrue(response.startsWith("HTTP/1.1 503"), response);
			assertTrue(response.contains("X-Outcome: not-run"), response);
			assertTrue(response.contains("retry-after: 2\r\n"), response);
			assertTrue(response.contains("X-Retry-After-Millis: 1001"), response);
			assertTrue(response.endsWith("{\"outcome\":\"not-run\",\"code\":\"OVERLOADED\",\"message\":\"busy\","
					+ "\"retryAfterMillis\":1001}"), response);
		}
	}

	@DataProvider
	public Object[][] invalidRequests() {
		String tooLargeBody = "x".repeat(CallerFixture.BODY_BYTES + 1);
		return new Object[][] { { "GARBAGE\r\n\r\n", 400, ProtocolError.MALFORMED_HTTP },
				{ "POST /v1/chat HTTP/2.0\r\n\r\n", 505, ProtocolError.VERSION_NOT_SUPPORTED },
				{ "GET /v1/chat HTTP/1.1\r\n\r\n", 405, ProtocolError.METHOD_NOT_ALLOWED },
				{ RawCaller.post("x").replace("/v1/chat", "/v2/chat"), 404, ProtocolError.UNKNOWN_PATH },
				{ RawCaller.post("x").replace("X-Organisation:", "X-Other:"), 400, ProtocolError.BAD_HEADER },
				{ RawCaller.post("x", "X-Timeout-Millis: soon"), 400, ProtocolError.BAD_HEADER },
				{ RawCaller.post("x", "X-Chat-Id: 1", "X-Chat-Id: 2"), 400, ProtocolError.BAD_HEADER },
				{ RawCaller.post("x", "Expect: wonders"), 417, ProtocolError.UNKNOWN_EXPECTATION },
				{ RawCaller.request("1.1", "Content-Length: -5"), 400, ProtocolError.MALFORMED_HTTP },
				{ RawCaller.request("1.1", "Content-Length: 5") + "hel", 400, ProtocolError.TRUNCATED_BODY },
				{ RawCaller.request("1.1", "Transfer-Encoding: chunked") + "zz\r\n", 400,
						ProtocolError.MALFORMED_HTTP },
				{ RawCaller.post("x").replace("/v1/", "/v1/" + "y".repeat(CallerFixture.LINE_BYTES)), 414,
						ProtocolError.LINE_TOO_LONG },
				{ RawCaller.post("x", "X-Long: " + "y".repeat(CallerFixture.HEADER_BYTES)), 431,
						ProtocolError.HEADERS_TOO_LARGE },
				{ RawCaller.post(tooLargeBody), 413, ProtocolError.BODY_TOO_LARGE },
				{ RawCaller.request("1.1", "Transfer-Encoding: chunked") + "801\r\n" + tooLargeBody + "\r\n0\r\n\r\n",
						413, ProtocolError.BODY_TOO_LARGE } };
	}

	@Test(dataProvider = "invalidRequests")
	public void invalidRequestGetsItsErrorAndTheConnectionIsClosed(String request, int status, ProtocolError error)
			throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(request).shutdownOutput();
			String response = caller.readToEnd();
			assertTrue(response.startsWith("HTTP/1.1 " + status), response);
			assertTrue(response.contains("X-Outcome: not-run"), response);
			assertTrue(response.contains("retry-after: "), response);
			assertTrue(response.contains("\"code\":\"" + error + "\""), response);
			assertTrue(this.fixture.listener().isEmpty());
		}
	}

	@Test
	public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("one") + RawCaller.post("two") + "GARBAGE\r\n\r\n");
			FakeListener.ArrivedRequest first = this.fixture.listener().take();
			assertEquals(new String(first.payload().body()), "one");
			assertTrue(this.fixture.listener().isEmpty());
			first.respondWith("answer-1");
			FakeListener.ArrivedRequest second = this.fixture.listener().take();
			assertEquals(new String(second.payload().body()), "two");
			second.respondWith("answer-2");
			String text = caller.readToEnd();
			int firstIndex = text.indexOf("answer-1");
			int secondIndex = text.indexOf("answer-2");
			assertTrue(firstIndex > 0 && secondIndex > firstIndex, text);
			assertTrue(text.indexOf("MALFORMED_HTTP") > secondIndex, text);
		}
	}

	@Test
	public void continueResponseIsSentBeforeTheBodyArrives() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.request("1.1", "Content-Length: 5", "Expect: 100-continue"));
			assertTrue(caller.readHead().startsWith("HTTP/1.1 100"));
			caller.send("hello");
			this.fixture.listener().take().respondWith("world");
			assertTrue(caller.readHead().startsWith("HTTP/1.1 200"));
		}
	}

	@Test
	public void tooLargeBodyIsRefusedBeforeItIsSent() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.request("1.1", "Content-Length: 999999", "Expect: 100-continue"));
			assertTrue(caller.readHead().startsWith("HTTP/1.1 413"));
		}
	}

	@Test
	public void http10CallerReceivesTheStreamAsOneResponseWithLength() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.request("1.0", "Content-Length: 0"));
			CallerResponse response = this.fixture.listener().take().response();
			response.begin(STREAM_HEAD);
			response.write("one ".getBytes(), () -> {
			});
			response.write("two".getBytes(), () -> {
			});
			response.finish();
			String text = caller.readToEnd();
			assertTrue(text.contains("content-length: 7"), text);
			assertFalse(text.contains("chunked"), text);
			assertTrue(text.endsWith("one two"), text);
		}
	}

	@Test
	public void http10CallerReceivesAnErrorForATooLargeResponse() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.request("1.0", "Content-Length: 0"));
			FakeListener.ArrivedRequest arrived = this.fixture.listener().take();
			arrived.response().begin(STREAM_HEAD);
			arrived.response().write(new byte[CallerFixture.BUFFERED_RESPONSE_BYTES + 1], () -> {
			});
			arrived.response().finish();
			String text = caller.readToEnd();
			assertTrue(text.startsWith("HTTP/1.1 502"), text);
			assertTrue(text.contains("X-Outcome: unknown"), text);
			await().until(() -> this.fixture.listener().cancelledRequests().contains(arrived.requestId()));
		}
	}

	@Test
	public void halfClosedCallerStillReceivesItsResponse() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("hello")).shutdownOutput();
			this.fixture.listener().take().respondWith("world");
			assertTrue(caller.readToEnd().endsWith("world"));
			assertTrue(this.fixture.listener().cancelledRequests().isEmpty());
		}
	}

	@Test
	public void disconnectedCallerIsReported() throws Exception {
		FakeListener.ArrivedRequest arrived;
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("hello"));
			arrived = this.fixture.listener().take();
		}
		arrived.response().begin(STREAM_HEAD);
		await().until(() -> {
			arrived.response().write("token".getBytes(), () -> {
			});
			return this.fixture.listener().cancelledRequests().contains(arrived.requestId());
		});
	}

	@Test
	public void slowCallerSlowsTheSourceDown() throws Exception {
		try (RawCaller caller = this.fixture.connect()) {
			caller.send(RawCaller.post("hello", "Connection: close"));
			CallerResponse response = this.fixture.listener().take().response();
			response.begin(STREAM_HEAD);
			ResponseWriter writer = new ResponseWriter(response, 4000);
			writer.run();
			await().until(() -> this.fixture.isUnchangedByPendingTasks(writer::writtenParts));
			assertTrue(writer.writtenParts() < 4000);
			String text = caller.readToEnd();
			assertTrue(text.endsWith("0\r\nX-Outcome: answered\r\n\r\n"));
			assertEquals(writer.writtenParts(), 4000);
		}
	}

	@Test
	public void requestIsRefusedWhileTooManyBodiesAreHeld() throws Exception {
		String large = RawCaller.post("x".repeat(CallerFixture.BODY_BYTES), "Connection: close");
		try (RawCaller first = this.fixture.connect(); RawCaller second = this.fixture.connect()) {
			first.send(large);
			FakeListener.ArrivedRequest arrived = this.fixture.listener().take();
			String refusal = second.send(large).readToEnd();
			assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
			assertTrue(refusal.contains("ROUTER_FULL"), refusal);
			arrived.respondWith("world");
			assertTrue(first.readToEnd().endsWith("world"));
		}
		try (RawCaller third = this.fixture.connect()) {
			third.send(large);
			this.fixture.listener().take().respondWith("again");
			assertTrue(third.readToEnd().endsWith("again"));
		}
	}

	@Test
	public void callerThatIsIdleInMidBodyGetsATimeout() throws Exception {
		try (CallerFixture shortIdleFixture = new CallerFixture(50); RawCaller caller = shortIdleFixture.connect()) {
			caller.send(RawCaller.request("1.1", "Content-Length: 5") + "he");
			String text = caller.readToEnd();
			assertTrue(text.startsWith("HTTP/1.1 408"), text);
			assertTrue(text.contains("IDLE_TIMEOUT"), text);
		}
	}

	@Test
	public void callerThatIsIdleInMidHeadGetsATimeout() throws Exception {
		try (CallerFixture shortIdleFixture = new CallerFixture(50); RawCaller caller = shortIdleFixture.connect()) {
			caller.send("POST /v1/chat HT");
			assertTrue(caller.readToEnd().startsWith("HTTP/1.1 408"));
		}
	}

	@Test
	public void idleConnectionIsClosedWithoutAResponse() throws Exception {
		try (CallerFixture shortIdleFixture = new CallerFixture(50); RawCaller caller = shortIdleFixture.connect()) {
			assertEquals(caller.readToEnd(), "");
		}
	}

	/**
	 * Writes parts as fast as the response accepts them.
	 */
	private static final class ResponseWriter implements Runnable {

		private static final byte[] PART = new byte[1024];

		private final CallerResponse response;

		private final int totalParts;

		private final AtomicInteger writtenParts = new AtomicInteger();

		ResponseWriter(CallerResponse response, int totalParts) {
			this.response = response;
			this.totalParts = totalParts;
		}

		@Override
		public void run() {
			if (this.writtenParts.get() == this.totalParts) {
				this.response.finish();
				return;
			}
			this.writtenParts.incrementAndGet();
			this.response.write(PART, this);
		}

		int writtenParts() {
			return this.writtenParts.get();
		}

	}

}
