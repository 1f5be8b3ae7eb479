package org.mustardlane.standin.platform;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.EventLoop;

import org.mustardlane.standin.http.Exchange;
import org.mustardlane.standin.http.ExchangeHandler;
import org.mustardlane.standin.http.Json;

/**
 * The fake platform as seen from one failure domain. Each view has its own faults and its
 * own list of VMs; the streams are shared.
 */
public final class PlatformView implements ExchangeHandler {

	private static final Pattern RECORDS_PATH = Pattern.compile("/streams/([^/]+)/records");

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_MODIFIED = 304;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private static final long DEFAULT_PAGE_RECORDS = 1000;

	private static final long MAX_WAIT_MILLIS = 60_000;

	private final EventLoop eventLoop;

	private final Platform platform;

	private final VmListHistory vmListHistory = new VmListHistory();

	private PlatformFaults faults = PlatformFaults.NONE;

	/**
	 * Creates a view without VMs and without faults.
	 * @param eventLoop event loop on which requests are handled and timers run
	 * @param platform streams that all views share
	 */
	public PlatformView(EventLoop eventLoop, Platform platform) {
		this.eventLoop = eventLoop;
		this.platform = platform;
	}

	@Override
	public void handle(Exchange exchange) throws IOException {
		if (exchange.path().equals("/faults")) {
			handleFaults(exchange);
		}
		else if (exchange.path().equals("/appends")) {
			exchange.sendJson(OK, this.platform.appendCounts());
		}
		else if (exchange.path().equals("/vms") && exchange.method().equals("PUT")) {
			this.vmListHistory.add(Json.read(exchange.body()).path("vms"), System.currentTimeMillis());
			exchange.sendJson(OK, Map.of());
		}
		else if (!this.faults.silent()) {
			runAfter(this.faults.slowMillis(), () -> handlePlatformRequest(exchange));
		}
	}

	private void handleFaults(Exchange exchange) throws IOException {
		if (exchange.method().equals("PUT")) {
			this.faults = Json.readWithDefaults(PlatformFaults.NONE, exchange.body(), PlatformFaults.class);
		}
		exchange.sendJson(OK, this.faults);
	}

	private void handlePlatformRequest(Exchange exchange) {
		Matcher matcher = RECORDS_PATH.matcher(exchange.path());
		if (this.faults.outage()) {
			sendUnavailable(exchange, "outage");
		}
		else if (exchange.path().equals("/vms")) {
			sendVmList(exchange);
		}
		else if (!matcher.matches()) {
			exchange.sendJson(NOT_FOUND, Map.of("message", "no such path"));
		}
		else if (exchange.method().equals("POST")) {
			append(exchange, matcher.group(1));
		}
		else {
			read(exchange, matcher.group(1));
		}
	}

	private void sendVmList(Exchange exchange) {
		VmListHistory.Version version = this.vmListHistory
			.versionAt(System.currentTimeMillis() - this.faults.vmListLagMillis());
		String entityTag = "\"" + version.number() + "\"";
		Map<String, String> headers = Map.of("ETag", entityTag, "Content-Type", "application/json");
		if (exchange.header("If-None-Match").filter(entityTag::equals).isPresent()) {
			exchange.send(NOT_MODIFIED, headers, new byte[0]);
			return;
		}
		exchange.send(OK, headers, Json.write(Map.of("version", version.number(), "vms", version.vms())));
	}

	private void append(Exchange exchange, String streamName) {
		RecordStream.Append append;
		try {
			append = Json.read(exchange.body(), RecordStream.Append.class);
		}
		catch (IOException ex) {
			exchange.sendJson(BAD_REQUEST, Map.of("message", "malformed append"));
			return;
		}
		boolean affected = this.faults.affects(streamName);
		if (affected && this.faults.refuseAppends() > 0) {
			this.faults = this.faults.afterRefusedAppend();
			sendUnavailable(exchange, "refused");
		}
		else if (!this.platform.tryAcquireAppend()) {
			sendUnavailable(exchange, "rate limit");
		}
		else if (affected && this.faults.lateAppends() > 0) {
			int delayMillis = this.faults.lateAppendMillis();
			this.faults = this.faults.afterLateAppend();
			runAfter(delayMillis, () -> this.platform.append(streamName, append));
			exchange.close();
		}
		else if (affected && this.faults.loseAppendAnswers() > 0) {
			this.faults = this.faults.afterLostResponse();
			this.platform.append(streamName, append);
			exchange.close();
		}
		else {
			exchange.sendJson(OK, Map.of("firstOffset", this.platform.append(streamName, append)));
		}
	}

	private void read(Exchange exchange, String streamName) {
		RecordStream stream = this.platform.stream(streamName);
		long fromOffset = exchange.queryNumber("from", 1);
		long waitMillis = Math.min(exchange.queryNumber("waitMillis", 0), MAX_WAIT_MILLIS);
		if (waitMillis == 0 || stream.endOffset() > fromOffset) {
			sendPage(exchange, streamName, fromOffset);
			return;
		}
		LongPoll poll = new LongPoll(() -> sendPage(exchange, streamName, fromOffset));
		stream.addAppendListener(poll);
		exchange.onClose(() -> stream.removeAppendListener(poll));
		runAfter((int) waitMillis, () -> {
			stream.removeAppendListener(poll);
			poll.run();
		});
	}

	private void sendPage(Exchange exchange, String streamName, long fromOffset) {
		if (this.faults.silent()) {
			return;
		}
		if (this.faults.outage()) {
			sendUnavailable(exchange, "outage");
			return;
		}
		exchange.sendJson(OK,
				this.platform.stream(streamName).read(fromOffset, exchange.queryNumber("limit", DEFAULT_PAGE_RECORDS)));
	}

	private void sendUnavailable(Exchange exchange, String reason) {
		exchange.sendJson(UNAVAILABLE, Map.of("message", reason));
	}

	private void runAfter(int millis, Runnable action) {
		if (millis <= 0) {
			action.run();
			return;
		}
		this.eventLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * A pending long poll, which gets one response: on an append or when its wait ends.
	 */
	private static final class LongPoll implements Runnable {

		private final Runnable sendResponse;

		private boolean responseSent;

		LongPoll(Runnable sendResponse) {
			this.sendResponse = sendResponse;
		}

		@Override
		public void run() {
			if (!this.responseSent) {
				this.responseSent = true;
				this.sendResponse.run();
			}
		}

	}

}
