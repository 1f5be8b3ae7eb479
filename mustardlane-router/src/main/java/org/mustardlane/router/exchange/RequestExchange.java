package org.mustardlane.router.exchange;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.router.answer.ResponseRelay;
import org.mustardlane.router.caller.CallerResponse;
import org.mustardlane.router.caller.RequestPayload;

/**
 * State of one request in flight.
 *
 * <p>
 * Confined to the worker of the request, except for the relay, which is thread-safe, and
 * the limit for stored responses, which may be read by any thread.
 */
final class RequestExchange {

	private final RequestId id;

	private final CallerRequest request;

	private final RequestPayload payload;

	private final CallerResponse response;

	private final ResponseRelay relay;

	private final Map<Integer, RunningAttempt> attempts = new TreeMap<>();

	private final Set<Integer> cancelledAttempts = new HashSet<>();

	private volatile int storedResponseLimitBytes;

	private boolean responseEnded;

	RequestExchange(RequestId id, CallerRequest request, RequestPayload payload, CallerResponse response,
			int copyLimitBytes) {
		this.id = id;
		this.request = request;
		this.payload = payload;
		this.response = response;
		this.relay = new ResponseRelay(response, copyLimitBytes);
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

	ResponseRelay relay() {
		return this.relay;
	}

	void setStoredResponseLimitBytes(int limitBytes) {
		this.storedResponseLimitBytes = limitBytes;
	}

	int storedResponseLimitBytes() {
		return this.storedResponseLimitBytes;
	}

	void markResponseEnded() {
		this.responseEnded = true;
	}

	boolean isResponseEnded() {
		return this.responseEnded;
	}

	boolean isEnded() {
		return this.responseEnded && this.attempts.isEmpty();
	}

	void addAttempt(int number, RunningAttempt attempt) {
		this.attempts.put(number, attempt);
	}

	Optional<RunningAttempt> findAttempt(int number) {
		return Optional.ofNullable(this.attempts.get(number));
	}

	void removeAttempt(int number) {
		this.attempts.remove(number);
	}

	void markAttemptCancelled(int number) {
		this.cancelledAttempts.add(number);
	}

	boolean isAttemptCancelled(int number) {
		return this.cancelledAttempts.contains(number);
	}

}
