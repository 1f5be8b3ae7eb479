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
final class Traces {

	private static final double MILLIS_PER_SECOND = 1000;

	private static final int HEXADECIMAL_DIGITS = 16;

	private final UniformRandomProvider random;

	private final String name;

	private int calls;

	Traces(long seed, String name) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + name.hashCode());
		this.name = name;
	}

	/**
	 * Generates independent calls with Poisson arrivals.
	 * @param shape the template of the calls
	 * @param fromMillis start of the arrivals in milliseconds
	 * @param untilMillis end of the arrivals in milliseconds
	 * @param startPerSecond arrivals per second at the start
	 * @param endPerSecond arrivals per second at the end; the rate changes linearly in
	 * between
	 * @return the calls
	 */
	List<TimedCall> arrivals(CallShape shape, long fromMillis, long untilMillis, double startPerSecond,
			double endPerSecond) {
		List<TimedCall> trace = new ArrayList<>();
		double highest = Math.max(startPerSecond, endPerSecond);
		double atMillis = fromMillis + gap(highest);
		while (atMillis < untilMillis) {
			double share = (atMillis - fromMillis) / (untilMillis - fromMillis);
			double rate = startPerSecond + share * (endPerSecond - startPerSecond);
			if (this.random.nextDouble() * highest < rate) {
				trace.add(single(shape, (long) atMillis));
			}
			atMillis += gap(highest);
		}
		return trace;
	}

	/**
	 * Generates multi-turn chats in which each prompt repeats the earlier turns.
	 * @param shape the template of the turns
	 * @param chats number of chats
	 * @param turnBytes number of bytes that each turn adds to the prompt
	 * @param untilMillis end of the arrivals in milliseconds
	 * @param perSecond turns per second over all chats
	 * @return the calls
	 */
	List<TimedCall> chats(CallShape shape, int chats, int turnBytes, long untilMillis, double perSecond) {
		List<TimedCall> trace = new ArrayList<>();
		StringBuilder[] prompts = new StringBuilder[chats];
		double atMillis = gap(perSecond);
		while (atMillis < untilMillis) {
			int chat = this.random.nextInt(chats);
			Optional<StringBuilder> known = Optional.ofNullable(prompts[chat]);
			int returningBytes = known.map(StringBuilder::length).orElse(0);
			if (known.isEmpty()) {
				prompts[chat] = new StringBuilder("{\"maxTokens\":%d}%n".formatted(shape.tokens()));
			}
			addText(prompts[chat], turnBytes);
			byte[] body = prompts[chat].toString().getBytes(StandardCharsets.US_ASCII);
			CallRequest request = new CallRequest(shape.entry(), body, shape.organisation(),
					Optional.of(this.name + "-chat-" + chat), Optional.empty(), Optional.empty());
			trace.add(new TimedCall((long) atMillis, shape.group(), request, shape.tokens(), this.random.nextDouble(),
					returningBytes));
			atMillis += gap(perSecond);
		}
		return trace;
	}

	private TimedCall single(CallShape shape, long atMillis) {
		this.calls++;
		CallRequest request = CallRequest.ofTokens(shape.entry(), shape.tokens(), this.name + "-" + this.calls)
			.by(shape.organisation());
		if (shape.timeoutMillis() > 0) {
			request = request.within(shape.timeoutMillis());
		}
		return new TimedCall(atMillis, shape.group(), request, shape.tokens(), this.random.nextDouble(), 0);
	}

	private double gap(double perSecond) {
		return -Math.log(1 - this.random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
	}

	private void addText(StringBuilder prompt, int bytes) {
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
	record CallShape(String group, String entry, String organisation, int tokens, int timeoutMillis) {

	}

}
