package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.route.RequestSemantics;
import org.mustardlane.gateway.wire.ResponseHead;

/**
 * Checks whether the head of a response may be forwarded to the caller.
 */
final class ResponseChecks {

	static final int MISDIRECTED_REQUEST = 421;

	/**
	 * Statuses that callers take for the promise that a call has not run.
	 */
	private static final Set<Integer> PROMISES_OF_NO_RUN = Set.of(408, MISDIRECTED_REQUEST, 429, 503);

	private ResponseChecks() {
	}

	/**
	 * Checks that the target has signed a successful response and has not encoded it.
	 * @param head head of the response
	 * @return the fault, or empty if there is none
	 */
	static Optional<String> findCorruption(ResponseHead head) {
		return (head.contentEncoded() || (head.isSuccess() && !head.sealed()))
				? Optional.of("status " + head.status() + " without a signature or with an encoding")
				: Optional.empty();
	}

	/**
	 * Checks that the response can follow what the caller was sent before.
	 * @param head head of the response
	 * @param semantics whether the call may be executed more than once
	 * @param sink what the caller was sent before
	 * @return the fault, or empty if there is none
	 */
	static Optional<String> findMismatch(ResponseHead head, RequestSemantics semantics, ResponseSink sink) {
		if (PROMISES_OF_NO_RUN.contains(head.status()) && !semantics.isRepeatable()) {
			// The caller would take the status for the promise that the call has not run.
			return Optional.of("status " + head.status() + " without that promise");
		}
		if (sink.isStarted() && !(head.isSuccess() && head.eventStream())) {
			// The body of this response must not be forwarded as the rest of the stream.
			return Optional.of("status " + head.status() + " in place of the rest of a stream");
		}
		return Optional.empty();
	}

}
