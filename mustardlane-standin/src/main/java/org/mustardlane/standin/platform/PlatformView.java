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
 * The fake platform as one failure domain sees it, with faults and a list of VMs of its
 * own.
 */
public final class PlatformView implements ExchangeHandler {

	private static final Pattern RECORDS = Pattern.compile("/streams/([^/]+)/records");

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_MODIFIED = 304;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private static final long DEFAULT_LIMIT = 1000;

	private static final long WAIT_LIMIT_MILLIS = 60_000;

	private final EventLoop loop;

	private final Platform platform;

	private final VmListHistory vmLists = new VmListHistory();

	private PlatformFaults faults = PlatformFaults.NONE;

	/**
	 * Creates a view without VMs and faults.
	 * @param loop the thread on which everything runs
	 * @param platform what all views share
	 */
	public PlatformView(EventLoop loop, Platform platform) {
		this.loop = loop;
		this.platform = platform;
	}

	@Override
	public void handle(Exchange exchange) throws IOException {
		if (exchange.path().equals("/faults")) {
			handleFaults(exchange);
		}
		else if (exchange.path().equals("/appends")) {
			exchange.sendJson(OK, this.platform.appends());
		}
		else if (exchange.path().equals("/vms") && exchange.method().equals("PUT")) {
			this.vmLists.set(Json.read(exchange.body()).path("vms"), System.currentTimeMillis());
			exchange.sendJson(OK, Map.of());
		}
		else if (!this.faults.silent()) {
			later(this.faults.slowMillis(), () -> handlePublic(exchange));
		}
	}

	private void handleFaults(Exchange exchange) throws IOException {
		if (exchange.method().equals("PUT")) {
			this.faults = Json.readWithDefaults(PlatformFaults.NONE, exchange.body(), PlatformFaults.class);
		}
		exchange.sendJson(OK, this.faults);
	}

	private void handlePublic(Exchange exchange) {
		Matcher records = RECORDS.matcher(exchange.path());
		if (this.faults.outage()) {
			refuse(exchange, "outage");
		}
		else if (exchange.path().equals("/vms")) {
			sendVms(exchange);
		}
		else if (!records.matches()) {
			exchange.sendJson(NOT_FOUND, Map.of("message", "no such path"));
		}
		else if (exchange.method().equals("POST")) {
			append(exchange, records.group(1));
		}
		else {
			read(exchange, records.group(1));
		}
	}

	private void sendVms(Exchange exchange) {
		VmListHistory.Version list = this.vmLists.visible(System.currentTimeMillis() - this.faults.vmListLagMillis());
		String tag = "\"" + list.number() + "\"";
		Map<String, String> headers = Map.of("ETag", tag, "Content-Type", "application/json");
		if (exchange.header("If-None-Match").filter(tag::equals).isPresent()) {
			exchange.send(NOT_MODIFIED, headers, new byte[0]);
			return;
		}
		exchange.send(OK, headers, Json.write(Map.of("version", list.number(), "vms", list.vms())));
	}

	private void append(Exchange exchange, String name) {
		RecordStream.Append append;
		try {
			append = Json.read(exchange.body(), RecordStream.Append.class);
		}
		catch (IOException ex) {
			exchange.sendJson(BAD_REQUEST, Map.of("message", "malformed append"));
			return;
		}
		boolean touched = this.faults.touches(name);
		if (touched && this.faults.refuseAppends() > 0) {
			this.faults = this.faults.withOneRefusalLess();
			refuse(exchange, "refused");
		}
		else if (!this.platform.takeAppend()) {
			refuse(exchange, "rate limit");
		}
		else if (touched && this.faults.lateAppends() > 0) {
			int lateMillis = this.faults.lateAppendMillis();
			this.faults = this.faults.withOneLateAppendLess();
			later(lateMillis, () -> this.platform.append(name, append));
			exchange.close();
		}
		else if (touched && this.faults.loseAppendAnswers() > 0) {
			this.faults = this.faults.withOneLostAnswerLess();
			this.platform.append(name, append);
			exchange.close();
		}
		else {
			exchange.sendJson(OK, Map.of("firstOffset", this.platform.append(name, append)));
		}
	}

	private void read(Exchange exchange, String name) {
		RecordStream stream = this.platform.stream(name);
		long from = exchange.queryNumber("from", 1);
		long waitMillis = Math.min(exchange.queryNumber("waitMillis", 0), WAIT_LIMIT_MILLIS);
		if (waitMillis == 0 || stream.endOffset() > from) {
			sendPage(exchange, name, from);
			return;
		}
		LongPoll poll = new LongPoll(() -> sendPage(exchange, name, from));
		stream.awaitAppend(poll);
		exchange.onClose(() -> stream.stopWaiting(poll));
		later((int) waitMillis, () -> {
			stream.stopWaiting(poll);
			poll.run();
		});
	}

	private void sendPage(Exchange exchange, String name, long from) {
		if (this.faults.silent()) {
			return;
		}
		if (this.faults.outage()) {
			refuse(exchange, "outage");
			return;
		}
		exchange.sendJson(OK, this.platform.stream(name).read(from, exchange.queryNumber("limit", DEFAULT_LIMIT)));
	}

	private void refuse(Exchange exchange, String reason) {
		exchange.sendJson(UNAVAILABLE, Map.of("message", reason));
	}

	private void later(int millis, Runnable action) {
		if (millis <= 0) {
			action.run();
			return;
		}
		this.loop.schedule(action, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * A read that waits and is answered once.
	 */
	private static final class LongPoll implements Runnable {

		private final Runnable answer;

		private boolean answered;

		LongPoll(Runnable answer) {
			this.answer = answer;
		}

		@Override
		public void run() {
			if (!this.answered) {
				this.answered = true;
				this.answer.run();
			}
		}

	}

}
