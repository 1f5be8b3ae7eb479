package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * What arrived of an answer.
 *
 * @param status the HTTP status, 0 where no head arrived
 * @param headers the header and trailer fields, with names in lower case
 * @param body the bytes
 * @param error why the answer did not come to its regular end
 * @param sentAtNanos when the request was sent
 * @param firstByteAtNanos when the first byte of the body arrived, 0 where none did
 * @param endedAtNanos when all ended
 */
public record CallResult(int status, Map<String, String> headers, byte[] body, Optional<String> error, long sentAtNanos,
		long firstByteAtNanos, long endedAtNanos) {

	private static final int OK = 200;

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public CallResult {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns the answer of an engine with the outcome that a router would have given.
	 * @return the result
	 */
	CallResult withTargetOutcome() {
		boolean isWhole = this.status == OK && this.error.isEmpty()
				&& header("x-answer-bytes").filter(Integer.toString(this.body.length)::equals).isPresent();
		Map<String, String> extended = new TreeMap<>(this.headers);
		extended.put("x-outcome", isWhole ? "answered" : "unknown");
		return new CallResult(this.status, extended, this.body, this.error, this.sentAtNanos, this.firstByteAtNanos,
				this.endedAtNanos);
	}

	/**
	 * Returns whether a regular answer came to its regular end.
	 * @return whether it did
	 */
	public boolean isAnswered() {
		return this.status == OK && this.error.isEmpty() && header("x-outcome").filter("answered"::equals).isPresent();
	}

	/**
	 * Returns whether the router says that no target has started the request.
	 * @return whether it does
	 */
	public boolean isNotRun() {
		return header("x-outcome").filter("not-run"::equals).isPresent();
	}

	/**
	 * Returns whether the router says that the request may have run.
	 * @return whether it does
	 */
	public boolean isUnknown() {
		return header("x-outcome").filter("unknown"::equals).isPresent();
	}

	/**
	 * Returns a header or trailer field.
	 * @param name its name in lower case
	 * @return the value if it is there
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

	/**
	 * Returns the body as text.
	 * @return the text
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	/**
	 * Returns how long the first byte took.
	 * @return the time in microseconds
	 */
	public long firstByteMicros() {
		return TimeUnit.NANOSECONDS.toMicros(this.firstByteAtNanos - this.sentAtNanos);
	}

	/**
	 * Returns how long all took.
	 * @return the time in microseconds
	 */
	public long totalMicros() {
		return TimeUnit.NANOSECONDS.toMicros(this.endedAtNanos - this.sentAtNanos);
	}

	/**
	 * Describes the result in one line.
	 * @return the line
	 */
	public String summary() {
		return "status %d, outcome %s, %d bytes%s%s".formatted(this.status, header("x-outcome").orElse("none"),
				this.body.length, (isAnswered() || this.status == OK) ? "" : ", body " + text(),
				this.error.map((text) -> ", ended by " + text).orElse(""));
	}

}
