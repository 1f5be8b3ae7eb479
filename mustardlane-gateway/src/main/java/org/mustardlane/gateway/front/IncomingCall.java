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
	 * Creates a call whose head was accepted.
	 * @param request the HTTP request with all headers
	 * @param head parsed head of the call
	 * @param arrivedAtMillis time at which the head arrived
	 * @return the call
	 */
	static IncomingCall createAccepted(HttpRequest request, CallHead head, long arrivedAtMillis) {
		return new IncomingCall(request, head, arrivedAtMillis, Optional.empty());
	}

	/**
	 * Creates a call that is rejected as soon as its end has been read.
	 * @param request the HTTP request with all headers
	 * @param head parsed head of the call
	 * @param arrivedAtMillis time at which the head arrived
	 * @param rejection the rejection
	 * @return the call
	 */
	static IncomingCall createRejected(HttpRequest request, CallHead head, long arrivedAtMillis, Rejection rejection) {
		return new IncomingCall(request, head, arrivedAtMillis, Optional.of(rejection));
	}

	/**
	 * Appends a part of the body.
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
	 * Returns the complete call; may be used once the whole body has arrived.
	 * @return the call
	 */
	Call toCall() {
		return new Call(this.request, this.head, this.body.toByteArray(), this.arrivedAtMillis);
	}

}
