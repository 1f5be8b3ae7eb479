package org.mustardlane.proof.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.mustardlane.standin.target.AnswerText;

/**
 * A call that was begun, and what has arrived of its answer.
 *
 * @param name names the call
 * @param request the request
 * @param tokens how many tokens it asks for
 * @param receivedBytes how many bytes have arrived
 * @param result what will have arrived in the end
 */
public record RecordedCall(String name, CallRequest request, int tokens, AtomicInteger receivedBytes,
		CompletableFuture<CallResult> result) {

	/**
	 * Begins a call.
	 * @param name names the call
	 * @param caller who calls
	 * @param routerUrl the router
	 * @param request the request
	 * @param tokens how many tokens it asks for
	 * @return the call
	 */
	public static RecordedCall begin(String name, Caller caller, String routerUrl, CallRequest request, int tokens) {
		AtomicInteger received = new AtomicInteger();
		return new RecordedCall(name, request, tokens, received, caller.call(routerUrl, request, received::set));
	}

	/**
	 * Returns the digest by which journals name the request.
	 * @return the SHA-256 of the body
	 */
	public String bodyDigest() {
		return AnswerText.digest(this.request.body());
	}

	/**
	 * Returns what has arrived, where the call has ended.
	 * @return the result
	 */
	public Optional<CallResult> ended() {
		return Optional.ofNullable(this.result.getNow(null));
	}

}
