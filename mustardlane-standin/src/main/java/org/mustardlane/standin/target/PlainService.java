package org.mustardlane.standin.target;

import java.util.Map;

import io.netty.channel.EventLoop;

import org.mustardlane.standin.http.Exchange;
import org.mustardlane.standin.http.Json;

/**
 * Fake of a plain service, which executes each request once and sends a response with
 * Content-Length.
 */
public final class PlainService extends TargetBase {

	private static final int DEFAULT_PRIORITY = 1;

	private static final double JITTER_RATIO = 0.5;

	private final String name;

	/**
	 * Creates a service with an empty journal.
	 * @param eventLoop event loop on which requests are handled and timers run
	 * @param settings capacity and timing
	 * @param name name of the service, which its responses contain
	 */
	public PlainService(EventLoop eventLoop, TargetSettings settings, String name) {
		super(eventLoop, settings);
		this.name = name;
	}

	@Override
	void handleTargetRequest(Exchange exchange) {
		TargetFaults requestFaults = consumeFaults();
		if (rejectIfFaulty(exchange, requestFaults)) {
			return;
		}
		int priority = exchange.header(TargetHeaders.PRIORITY).map(Integer::parseInt).orElse(DEFAULT_PRIORITY);
		slots().enqueue(priority, () -> startExecution(exchange, requestFaults));
	}

	private void startExecution(Exchange exchange, TargetFaults requestFaults) {
		JournalEntry entry = addJournalEntry(exchange, exchange.body(), 0, 0);
		double jitterFactor = 1 + JITTER_RATIO * (2 * random().nextDouble() - 1);
		runAfter(settings().serviceMillis() * jitterFactor, () -> respond(exchange, requestFaults, entry));
	}

	private void respond(Exchange exchange, TargetFaults requestFaults, JournalEntry entry) {
		entry.recordFirstToken();
		slots().releaseSlot();
		byte[] body = Json.write(Map.of("service", this.name, "execution", entry.number(), "bodyDigest",
				ResponseText.sha256Hex(exchange.body()), "key",
				exchange.header(TargetHeaders.IDEMPOTENCY_KEY).orElse("")));
		Map<String, String> headers = Map.of(TargetHeaders.REQUEST_ID, echoedRequestId(exchange, requestFaults),
				"Content-Type", "application/json");
		if (requestFaults.loseAnswer()) {
			entry.recordEnd("ANSWER_LOST");
			exchange.close();
		}
		else if (requestFaults.shortAnswer() || requestFaults.breakAfterBytes() >= 0) {
			entry.recordEnd("BROKEN");
			exchange.sendTruncated(headers, body,
					requestFaults.shortAnswer() ? body.length - 1 : requestFaults.breakAfterBytes());
		}
		else {
			entry.recordEnd("WHOLE");
			exchange.send(OK, headers, body);
		}
	}

}
