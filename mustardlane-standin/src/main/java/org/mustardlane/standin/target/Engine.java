package org.mustardlane.standin.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

import org.mustardlane.standin.http.Exchange;
import org.mustardlane.standin.http.Json;

/**
 * The fake of a model engine, which batches generations and caches the prompts of chats.
 */
public final class Engine extends TargetBase {

	private static final String GENERATIONS = "/generations/";

	private static final int DEFAULT_PRIORITY = 1;

	private static final double JITTER = 0.5;

	private static final double PERCENT = 100;

	private static final double BASE_PREFILL_MILLIS = 1;

	private static final int BACKED_UP_POLL_MILLIS = 5;

	private static final int SWEEP_MILLIS = 1000;

	private static final int KEPT_MILLIS = 15_000;

	private static final int HEXADECIMAL = 16;

	private final PrefixCache cache;

	private final Map<String, Generation> generations = new HashMap<>();

	private final String name;

	private long started;

	/**
	 * Creates an engine with an empty cache.
	 * @param loop the thread on which everything runs
	 * @param settings how it behaves
	 * @param name its name
	 */
	public Engine(EventLoop loop, TargetSettings settings, String name) {
		super(loop, settings);
		this.name = name;
		this.cache = new PrefixCache(settings, random());
		loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	void handlePublic(Exchange exchange) {
		if (exchange.path().equals("/cache-events")) {
			exchange.sendJson(OK, Map.of("events", this.cache.eventsAfter(exchange.queryNumber("after", 0))));
		}
		else if (exchange.path().startsWith(GENERATIONS)) {
			handleGeneration(exchange, exchange.path().substring(GENERATIONS.length()));
		}
		else {
			generate(exchange);
		}
	}

	private void handleGeneration(Exchange exchange, String id) {
		Optional<Generation> generation = Optional.ofNullable(this.generations.get(id));
		if (generation.isEmpty()) {
			exchange.sendJson(NOT_FOUND, Map.of("message", "no such generation"));
		}
		else if (exchange.method().equals("DELETE")) {
			cancel(generation.get());
			exchange.sendJson(OK, Map.of());
		}
		else {
			generation.get()
				.attach(exchange, (int) exchange.queryNumber("offset", 0), echo(exchange, TargetFaults.NONE));
		}
	}

	private void cancel(Generation generation) {
		this.generations.remove(generation.id());
		generation.drop();
		end(generation, "CANCELLED");
	}

	private void generate(Exchange exchange) {
		TargetFaults met = takeFaults();
		if (isTurnedAway(exchange, met)) {
			return;
		}
		int priority = exchange.header(TargetHeaders.PRIORITY).map(Integer::parseInt).orElse(DEFAULT_PRIORITY);
		SlotQueue.Waiting waiting = slots().enter(priority, () -> start(exchange, met));
		exchange.onClose(() -> slots().abandon(waiting));
	}

	private void start(Exchange exchange, TargetFaults met) {
		int offset = exchange.header(TargetHeaders.CONTINUE_OFFSET).map(Integer::parseInt).orElse(0);
		byte[] prompt = exchange.body();
		byte[] callerBody = Arrays.copyOf(prompt, prompt.length - offset);
		byte[] delivered = Arrays.copyOfRange(prompt, callerBody.length, prompt.length);
		Optional<String> chat = exchange.header(TargetHeaders.CHAT_ID);
		int cached = chat.map((id) -> this.cache.cachedBytes(id, prompt)).orElse(0);
		JournalEntry entry = journal(exchange, callerBody, offset, cached);
		chat.ifPresent((id) -> this.cache.store(id, prompt));
		this.started++;
		Generation generation = new Generation(this.name + "-" + this.started,
				new AnswerText(callerBody, seed(delivered)), tokens(callerBody), offset, entry, met);
		this.generations.put(generation.id(), generation);
		double prefillMillis = BASE_PREFILL_MILLIS + (prompt.length - cached) / settings().prefillBytesPerMilli();
		generation.attach(exchange, offset, echo(exchange, met));
		later(prefillMillis, () -> step(generation));
	}

	private void step(Generation generation) {
		if (generation.isEnded()) {
			return;
		}
		if (generation.isBackedUp()) {
			loop().schedule(() -> step(generation), BACKED_UP_POLL_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		if (!generation.isReady()) {
			generation.addToken();
		}
		if (generation.isReady()) {
			end(generation, "WHOLE");
		}
		else if (!generation.isStalled()) {
			later(nextTokenMillis(), () -> step(generation));
		}
	}

	private double nextTokenMillis() {
		double spread = 1 + JITTER * (2 * random().nextDouble() - 1);
		double batch = 1 + (slots().running() - 1) * settings().batchPercent() / PERCENT;
		return settings().tokenMillis() * spread * batch;
	}

	private void end(Generation generation, String how) {
		if (!generation.isEnded()) {
			generation.end(how);
			slots().leave();
		}
	}

	private void sweep() {
		long oldestMillis = System.currentTimeMillis() - KEPT_MILLIS;
		this.generations.values().removeIf((generation) -> {
			boolean abandoned = generation.isAbandonedSince(oldestMillis);
			if (abandoned) {
				end(generation, "ABANDONED");
			}
			return abandoned;
		});
	}

	private int tokens(byte[] callerBody) {
		try {
			return Json.read(callerBody).path("maxTokens").asInt(settings().defaultTokens());
		}
		catch (IOException ex) {
			return settings().defaultTokens();
		}
	}

	private long seed(byte[] delivered) {
		String fresh = String.format("%016x ", random().nextLong());
		int known = Math.min(delivered.length, AnswerText.SEED_BYTES);
		String begun = new String(delivered, 0, known, StandardCharsets.US_ASCII);
		String seed = begun + fresh.substring(known);
		return Long.parseUnsignedLong(seed.trim(), HEXADECIMAL);
	}

}
