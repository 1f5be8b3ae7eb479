package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The received response of a call, complete or not.
 *
 * @param status the HTTP status, or 0 if no response head was received
 * @param headers the header and trailer fields, with names in lower case
 * @param body the received bytes of the body
 * @param error the error that ended the response early
 * @param sentAtNanos the {@link System#nanoTime()} at which the request was sent
 * @param firstByteAtNanos the {@link System#nanoTime()} of the first body byte, or 0 if
 * none was received
 * @param endedAtNanos the {@link System#nanoTime()} at which the call ended
 */
public record CallResult(int status, Map<String, String> headers, byte[] body, Optional<String> error, long sentAtNanos,
		long firstByteAtNanos, long endedAtNanos) {

	private static final int OK = 200;

	/**
	 * Copies the headers.
	 */
	public CallResult {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns this response of an engine with the {@code X-Outcome} that a router would
	 * have added.
	 * @return the new result
	 */
	CallResult withTargetOutcome() {
		boolean isComplete = this.status == OK && this.error.isEmpty()
				&& header("x-answer-bytes").filter(Integer.toString(this.body.length)::equals).isPresent();
		Map<String, String> extendedHeaders = new TreeMap<>(this.headers);
		extendedHeaders.put("x-outcome", isComplete ? "answered" : "unknown");
		return new CallResult(this.status, extendedHeaders, this.body, this.error, this.sentAtNanos,
				this.firstByteAtNanos, this.endedAtNanos);
	}

	/**
	 * Returns whether the response is complete and its outcome is {@code answered}.
	 * @return whether the call was answered
	 */
	public boolean isAnswered() {
		return this.status == OK && this.error.isEmpty() && header("x-outcome").filter("answered"::equals).isPresent();
	}

	/**
	 * Returns whether the outcome is {@code not-run}: no target has started the request.
	 * @return whether the router reported this outcome
	 */
	public boolean isNotRun() {
		return header("x-outcome").filter("not-run"::equals).isPresent();
	}

	/**
	 * Returns whether the outcome is {@code unknown}: the request may have run.
	 * @return whether the router reported this outcome
	 */
	public boolean isUnknown() {
		return header("x-outcome").filter("unknown"::equals).isPresent();
	}

	/**
	 * Returns a header or trailer field.
	 * @param name the field name in lower case
	 * @return the value, if the field was received
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

	/**
	 * Returns the body as text.
	 * @return the text
	 */
	public String bodyText() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	/**
	 * Returns the time from sending the request to the first body byte.
	 * @return the time in microseconds
	 */
	public long timeToFirstByteMicros() {
		return TimeUnit.NANOSECONDS.toMicros(this.firstByteAtNanos - this.sentAtNanos);
	}

	/**
	 * Returns the total duration of the call.
	 * @return the time in microseconds
	 */
	public long durationMicros() {
		return TimeUnit.NANOSECONDS.toMicros(this.endedAtNanos - this.sentAtNanos);
	}

	/**
	 * Returns a description of the result in one line.
	 * @return the description
	 */
	public String summary() {
		return "status %d, outcome %s, %d bytes%s%s".formatted(this.status, header("x-outcome").orElse("none"),
				this.body.length, (isAnswered() || this.status == OK) ? "" : ", body " + bodyText(),
				this.error.map((text) -> ", ended by " + text).orElse(""));
	}

}
