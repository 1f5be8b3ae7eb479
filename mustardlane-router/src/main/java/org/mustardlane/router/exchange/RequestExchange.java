package org.mustardlane.router.exchange;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.router.answer.AnswerRelay;
import org.mustardlane.router.caller.CallerResponse;
import org.mustardlane.router.caller.RequestPayload;

/**
 * What the daemon holds of one request in flight.
 *
 * <p>
 * Confined to the worker of the request, but for the relay, which is thread-safe.
 */
final class RequestExchange {

	private final RequestId id;

	private final CallerRequest request;

	private final RequestPayload payload;

	private final CallerResponse response;

	private final AnswerRelay relay;

	private final Map<Integer, RunningAttempt> attempts = new TreeMap<>();

	private final Set<Integer> cancelled = new HashSet<>();

	private volatile int keptBytesLimit;

	private boolean answered;

	RequestExchange(RequestId id, CallerRequest request, RequestPayload payload, CallerResponse response,
			int copyBytesLimit) {
		this.id = id;
		this.request = request;
		this.payload = payload;
		this.response = response;
		this.relay = new AnswerRelay(response, copyBytesLimit);
	}

	RequestId id() {
		return this.id;
	}

	CallerRequest request() {
		return this.request;
	}

	RequestPayload payload() {
		return this.payload;
	}

	CallerResponse response() {
		return this.response;
	}

	AnswerRelay relay() {
		return this.relay;
	}

	void keep(int limitBytes) {
		this.keptBytesLimit = limitBytes;
	}

	int keptBytesLimit() {
		return this.keptBytesLimit;
	}

	void markAnswered() {
		this.answered = true;
	}

	boolean isAnswered() {
		return this.answered;
	}

	boolean isOver() {
		return this.answered && this.attempts.isEmpty();
	}

	void add(int number, RunningAttempt attempt) {
		this.attempts.put(number, attempt);
	}

	Optional<RunningAttempt> find(int number) {
		return Optional.ofNullable(this.attempts.get(number));
	}

	void remove(int number) {
		this.attempts.remove(number);
	}

	void cancel(int number) {
		this.cancelled.add(number);
	}

	boolean isCancelled(int number) {
		return this.cancelled.contains(number);
	}

}
