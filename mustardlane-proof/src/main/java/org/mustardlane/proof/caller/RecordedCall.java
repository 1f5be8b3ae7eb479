package org.mustardlane.proof.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.mustardlane.standin.target.ResponseText;

/**
 * A started call and the state of its response.
 *
 * @param name the name of the call
 * @param request the sent request
 * @param tokens the number of tokens that the request asks for
 * @param receivedBytes the number of body bytes received so far
 * @param result the future of the final result
 */
public record RecordedCall(String name, CallRequest request, int tokens, AtomicInteger receivedBytes,
		CompletableFuture<CallResult> result) {

	/**
	 * Sends a request and records its response.
	 * @param name the name of the call
	 * @param caller the client that sends the request
	 * @param routerUrl the base URL of the router
	 * @param request the sent request
	 * @param tokens the number of tokens that the request asks for
	 * @return the started call
	 */
	public static RecordedCall start(String name, Caller caller, String routerUrl, CallRequest request, int tokens) {
		AtomicInteger received = new AtomicInteger();
		return new RecordedCall(name, request, tokens, received, caller.call(routerUrl, request, received::set));
	}

	/**
	 * Returns the digest of the request body, as it is recorded in journals.
	 * @return the SHA-256 digest
	 */
	public String bodyDigest() {
		return ResponseText.sha256Hex(this.request.body());
	}

	/**
	 * Returns the result if the call has ended.
	 * @return the result, or empty while the call is running
	 */
	public Optional<CallResult> resultIfEnded() {
		return Optional.ofNullable(this.result.getNow(null));
	}

}
