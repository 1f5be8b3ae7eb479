package org.mustardlane.proof.measure;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.proof.caller.CallRequest;

/**
 * Generates traces of calls from a seed. Not thread-safe.
 */
final class TraceGenerator {

	private static final double MILLIS_PER_SECOND = 1000;

	private static final int HEXADECIMAL_DIGITS = 16;

	private final UniformRandomProvider random;

	private final String name;

	private int callCount;

	TraceGenerator(long seed, String name) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + name.hashCode());
		this.name = name;
	}

	/**
	 * Generates independent calls with Poisson arrivals.
	 * @param template the template of the calls
	 * @param startMillis start of the arrivals in milliseconds
	 * @param endMillis end of the arrivals in milliseconds
	 * @param startPerSecond arrivals per second at the start
	 * @param endPerSecond arrivals per second at the end; the rate changes linearly in
	 * between
	 * @return the calls
	 */
	List<TimedCall> poissonArrivals(CallTemplate template, long startMillis, long endMillis, double startPerSecond,
			double endPerSecond) {
		List<TimedCall> trace = new ArrayList<>();
		double maxPerSecond = Math.max(startPerSecond, endPerSecond);
		double atMillis = startMillis + nextGapMillis(maxPerSecond);
		while (atMillis < endMillis) {
			double progress = (atMillis - startMillis) / (endMillis - startMillis);
			double currentPerSecond = startPerSecond + progress * (endPerSecond - startPerSecond);
			if (this.random.nextDouble() * maxPerSecond < currentPerSecond) {
				trace.add(createCall(template, (long) atMillis));
			}
			atMillis += nextGapMillis(maxPerSecond);
		}
		return trace;
	}

	/**
	 * Generates multi-turn chats in which each prompt repeats the earlier turns.
	 * @param template the template of the turns
	 * @param chats number of chats
	 * @param turnBytes number of bytes that each turn adds to the prompt
	 * @param endMillis end of the arrivals in milliseconds
	 * @param perSecond turns per second over all chats
	 * @return the calls
	 */
	List<TimedCall> multiTurnChats(CallTemplate template, int chats, int turnBytes, long endMillis, double perSecond) {
		List<TimedCall> trace = new ArrayList<>();
		StringBuilder[] prompts = new StringBuilder[chats];
		double atMillis = nextGapMillis(perSecond);
		while (atMillis < endMillis) {
			int chat = this.random.nextInt(chats);
			Optional<StringBuilder> earlierPrompt = Optional.ofNullable(prompts[chat]);
			int returningBytes = earlierPrompt.map(StringBuilder::length).orElse(0);
			if (earlierPrompt.isEmpty()) {
				prompts[chat] = new StringBuilder("{\"maxTokens\":%d}%n".formatted(template.tokens()));
			}
			appendRandomText(prompts[chat], turnBytes);
			byte[] body = prompts[chat].toString().getBytes(StandardCharsets.US_ASCII);
			CallRequest request = new CallRequest(template.entry(), body, template.organisation(),
					Optional.of(this.name + "-chat-" + chat), Optional.empty(), Optional.empty());
			trace.add(new TimedCall((long) atMillis, template.group(), request, template.tokens(),
					this.random.nextDouble(), returningBytes));
			atMillis += nextGapMillis(perSecond);
		}
		return trace;
	}

	private TimedCall createCall(CallTemplate template, long atMillis) {
		this.callCount++;
		CallRequest request = CallRequest
			.forTokens(template.entry(), template.tokens(), this.name + "-" + this.callCount)
			.withOrganisation(template.organisation());
		if (template.timeoutMillis() > 0) {
			request = request.withTimeout(template.timeoutMillis());
		}
		return new TimedCall(atMillis, template.group(), request, template.tokens(), this.random.nextDouble(), 0);
	}

	private double nextGapMillis(double perSecond) {
		return -Math.log(1 - this.random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
	}

	private void appendRandomText(StringBuilder prompt, int bytes) {
		int end = prompt.length() + bytes;
		while (prompt.length() < end) {
			prompt.append(String.format("%016x", this.random.nextLong()), 0,
					Math.min(HEXADECIMAL_DIGITS, end - prompt.length()));
		}
	}

	/**
	 * The common properties of the calls of a group.
	 *
	 * @param group the group under which the results are evaluated
	 * @param entry the catalogue entry to call
	 * @param organisation the calling organisation
	 * @param tokens the number of tokens to generate
	 * @param timeoutMillis the timeout that the caller states in milliseconds, or 0 for
	 * none
	 */
	record CallTemplate(String group, String entry, String organisation, int tokens, int timeoutMillis) {

	}

}
