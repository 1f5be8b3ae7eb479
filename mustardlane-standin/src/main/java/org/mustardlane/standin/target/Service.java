package org.mustardlane.standin.target;

import java.util.Map;

import io.netty.channel.EventLoop;

import org.mustardlane.standin.http.Exchange;
import org.mustardlane.standin.http.Json;

/**
 * The fake of a plain service, which executes each call once and answers with a known
 * length.
 */
public final class Service extends TargetBase {

	private static final int DEFAULT_PRIORITY = 1;

	private static final double JITTER = 0.5;

	private final String name;

	/**
	 * Creates a service that has executed nothing.
	 * @param loop the thread on which everything runs
	 * @param settings how it behaves
	 * @param name its name, which its answers carry
	 */
	public Service(EventLoop loop, TargetSettings settings, String name) {
		super(loop, settings);
		this.name = name;
	}

	@Override
	void handlePublic(Exchange exchange) {
		TargetFaults met = takeFaults();
		if (isTurnedAway(exchange, met)) {
			return;
		}
		int priority = exchange.header(TargetHeaders.PRIORITY).map(Integer::parseInt).orElse(DEFAULT_PRIORITY);
		slots().enter(priority, () -> execute(exchange, met));
	}

	private void execute(Exchange exchange, TargetFaults met) {
		JournalEntry entry = journal(exchange, exchange.body(), 0, 0);
		double spread = 1 + JITTER * (2 * random().nextDouble() - 1);
		later(settings().serviceMillis() * spread, () -> answer(exchange, met, entry));
	}

	private void answer(Exchange exchange, TargetFaults met, JournalEntry entry) {
		entry.firstToken();
		slots().leave();
		byte[] body = Json.write(Map.of("service", this.name, "execution", entry.number(), "bodyDigest",
				AnswerText.digest(exchange.body()), "key", exchange.header(TargetHeaders.IDEMPOTENCY_KEY).orElse("")));
		Map<String, String> headers = Map.of(TargetHeaders.REQUEST_ID, echo(exchange, met), "Content-Type",
				"application/json");
		if (met.loseAnswer()) {
			entry.end("ANSWER_LOST");
			exchange.close();
		}
		else if (met.shortAnswer() || met.breakAfterBytes() >= 0) {
			entry.end("BROKEN");
			exchange.sendPart(headers, body, met.shortAnswer() ? body.length - 1 : met.breakAfterBytes());
		}
		else {
			entry.end("WHOLE");
			exchange.send(OK, headers, body);
		}
	}

}
