package org.mustardlane.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The way back to the caller of one call; used on the event loop of the daemon.
 */
public interface CallerChannel {

	/**
	 * Answers with a whole body.
	 * @param status status of the response
	 * @param headers headers besides those of the framing
	 * @param body the body
	 */
	void respond(int status, HttpHeaders headers, byte[] body);

	/**
	 * Answers a call that no target answers.
	 * @param rejection why
	 */
	default void reject(Rejection rejection) {
		respond(rejection.status(), RejectionResponse.headers(rejection), RejectionResponse.body(rejection));
	}

	/**
	 * Begins an answer whose body follows in parts.
	 * @param status status of the response
	 * @param headers headers besides those of the framing
	 */
	void startResponse(int status, HttpHeaders headers);

	/**
	 * Sends a part of the body.
	 * @param content the bytes, which are taken over
	 */
	void sendContent(ByteBuf content);

	/**
	 * Ends an answer that was begun.
	 */
	void endResponse();

	/**
	 * Breaks off, so that the caller sees that the answer is not whole.
	 */
	void abort();

	/**
	 * Tells whether the caller takes bytes as fast as they come.
	 * @return false while too many wait
	 */
	boolean isWritable();

}
