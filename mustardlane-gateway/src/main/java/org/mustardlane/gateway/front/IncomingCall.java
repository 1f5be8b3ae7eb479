package org.mustardlane.gateway.front;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import io.netty.handler.codec.http.HttpRequest;

import org.mustardlane.gateway.wire.CallHead;

/**
 * A call whose body is still arriving.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class IncomingCall {

	private final HttpRequest request;

	private final CallHead head;

	private final long arrivedAtMillis;

	private final Optional<Rejection> rejection;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private IncomingCall(HttpRequest request, CallHead head, long arrivedAtMillis, Optional<Rejection> rejection) {
		this.request = request;
		this.head = head;
		this.arrivedAtMillis = arrivedAtMillis;
		this.rejection = rejection;
	}

	/**
	 * Begins a call whose head was accepted.
	 * @param request the head with all headers
	 * @param head what it says
	 * @param arrivedAtMillis when it arrived
	 * @return the call
	 */
	static IncomingCall accepted(HttpRequest request, CallHead head, long arrivedAtMillis) {
		return new IncomingCall(request, head, arrivedAtMillis, Optional.empty());
	}

	/**
	 * Begins a call that is answered with a rejection once its end has been read.
	 * @param request the head with all headers
	 * @param head what it says
	 * @param arrivedAtMillis when it arrived
	 * @param rejection the rejection
	 * @return the call
	 */
	static IncomingCall rejected(HttpRequest request, CallHead head, long arrivedAtMillis, Rejection rejection) {
		return new IncomingCall(request, head, arrivedAtMillis, Optional.of(rejection));
	}

	/**
	 * Takes a part of the body.
	 * @param content the bytes
	 */
	void append(byte[] content) {
		this.body.writeBytes(content);
	}

	int bodyBytes() {
		return this.body.size();
	}

	HttpRequest request() {
		return this.request;
	}

	String requestId() {
		return this.head.requestId();
	}

	Optional<Rejection> rejection() {
		return this.rejection;
	}

	/**
	 * Returns an accepted call once its body has arrived.
	 * @return the call
	 */
	Call toCall() {
		return new Call(this.request, this.head, this.body.toByteArray(), this.arrivedAtMillis);
	}

}
