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
 * Fake of a model engine, which batches generations and caches the prompts of chats.
 */
public final class Engine extends TargetBase {

	private static final String GENERATIONS_PATH = "/generations/";

	private static final int DEFAULT_PRIORITY = 1;

	private static final double JITTER_RATIO = 0.5;

	private static final double PERCENT = 100;

	private static final double BASE_PREFILL_MILLIS = 1;

	private static final int BACKPRESSURE_POLL_INTERVAL_MILLIS = 5;

	private static final int SWEEP_INTERVAL_MILLIS = 1000;

	private static final int ABANDONED_RETENTION_MILLIS = 15_000;

	private static final int HEX_RADIX = 16;

	private final PrefixCache cache;

	private final Map<String, Generation> generations = new HashMap<>();

	private final String name;

	private long startedCount;

	/**
	 * Creates an engine with an empty cache.
	 * @param eventLoop event loop on which requests are handled and timers run
	 * @param settings capacity and timing
	 * @param name name of the engine, the prefix of its generation ids
	 */
	public Engine(EventLoop eventLoop, TargetSettings settings, String name) {
		super(eventLoop, settings);
		this.name = name;
		this.cache = new PrefixCache(settings, random());
		eventLoop.scheduleAtFixedRate(this::removeAbandonedGenerations, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	void handleTargetRequest(Exchange exchange) {
		if (exchange.path().equals("/cache-events")) {
			exchange.sendJson(OK, Map.of("events", this.cache.eventsAfter(exchange.queryNumber("after", 0))));
		}
		else if (exchange.path().startsWith(GENERATIONS_PATH)) {
			handleGenerationById(exchange, exchange.path().substring(GENERATIONS_PATH.length()));
		}
		else {
			enqueueGeneration(exchange);
		}
	}

	private void handleGenerationById(Exchange exchange, String id) {
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
				.attach(exchange, (int) exchange.queryNumber("offset", 0),
						echoedRequestId(exchange, TargetFaults.NONE));
		}
	}

	private void cancel(Generation generation) {
		this.generations.remove(generation.id());
		generation.resetConnection();
		end(generation, "CANCELLED");
	}

	private void enqueueGeneration(Exchange exchange) {
		TargetFaults requestFaults = consumeFaults();
		if (rejectIfFaulty(exchange, requestFaults)) {
			return;
		}
		int priority = exchange.header(TargetHeaders.PRIORITY).map(Integer::parseInt).orElse(DEFAULT_PRIORITY);
		SlotQueue.QueuedRequest queuedRequest = slots().enqueue(priority,
				() -> startGeneration(exchange, requestFaults));
		exchange.onClose(() -> slots().cancel(queuedRequest));
	}

	private void startGeneration(Exchange exchange, TargetFaults requestFaults) {
		int offset = exchange.header(TargetHeaders.CONTINUE_OFFSET).map(Integer::parseInt).orElse(0);
		byte[] prompt = exchange.body();
		byte[] callerBody = Arrays.copyOf(prompt, prompt.length - offset);
		byte[] deliveredBytes = Arrays.copyOfRange(prompt, callerBody.length, prompt.length);
		Optional<String> chat = exchange.header(TargetHeaders.CHAT_ID);
		int cachedBytes = chat.map((chatId) -> this.cache.cachedBytes(chatId, prompt)).orElse(0);
		JournalEntry entry = addJournalEntry(exchange, callerBody, offset, cachedBytes);
		chat.ifPresent((chatId) -> this.cache.store(chatId, prompt));
		this.startedCount++;
		Generation generation = new Generation(this.name + "-" + this.startedCount,
				new ResponseText(callerBody, resumeSeed(deliveredBytes)), requestedTokens(callerBody), offset, entry,
				requestFaults);
		this.generations.put(generation.id(), generation);
		double prefillMillis = BASE_PREFILL_MILLIS + (prompt.length - cachedBytes) / settings().prefillBytesPerMilli();
		generation.attach(exchange, offset, echoedRequestId(exchange, requestFaults));
		runAfter(prefillMillis, () -> advance(generation));
	}

	private void advance(Generation generation) {
		if (generation.isEnded()) {
			return;
		}
		if (generation.isBackpressured()) {
			eventLoop().schedule(() -> advance(generation), BACKPRESSURE_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		if (!generation.isComplete()) {
			generation.addToken();
		}
		if (generation.isComplete()) {
			end(generation, "WHOLE");
		}
		else if (!generation.isStalled()) {
			runAfter(nextTokenDelayMillis(), () -> advance(generation));
		}
	}

	private double nextTokenDelayMillis() {
		double jitterFactor = 1 + JITTER_RATIO * (2 * random().nextDouble() - 1);
		double batchFactor = 1 + (slots().runningCount() - 1) * settings().batchPercent() / PERCENT;
		return settings().tokenMillis() * jitterFactor * batchFactor;
	}

	private void end(Generation generation, String result) {
		if (!generation.isEnded()) {
			generation.end(result);
			slots().releaseSlot();
		}
	}

	private void removeAbandonedGenerations() {
		long cutoffMillis = System.currentTimeMillis() - ABANDONED_RETENTION_MILLIS;
		this.generations.values().removeIf((generation) -> {
			boolean abandoned = generation.isAbandonedBefore(cutoffMillis);
			if (abandoned) {
				end(generation, "ABANDONED");
			}
			return abandoned;
		});
	}

	private int requestedTokens(byte[] callerBody) {
		try {
			return Json.read(callerBody).path("maxTokens").asInt(settings().defaultTokens());
		}
		catch (IOException ex) {
			return settings().defaultTokens();
		}
	}

	// Keeps the digits of the seed that were already delivered and adds random ones, so
	// that
	// the continuation matches the text of the earlier generation.
	private long resumeSeed(byte[] deliveredBytes) {
		String randomSeedText = String.format("%016x ", random().nextLong());
		int deliveredSeedLength = Math.min(deliveredBytes.length, ResponseText.SEED_BYTES);
		String deliveredSeedText = new String(deliveredBytes, 0, deliveredSeedLength, StandardCharsets.US_ASCII);
		String seedText = deliveredSeedText + randomSeedText.substring(deliveredSeedLength);
		return Long.parseUnsignedLong(seedText.trim(), HEX_RADIX);
	}

}
