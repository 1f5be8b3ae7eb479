package org.mustardlane.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends the response to the caller of one call; used on the event loop of the daemon.
 */
public interface CallerChannel {

	/**
	 * Sends a complete response.
	 * @param status the HTTP status
	 * @param headers headers without framing headers
	 * @param body the body
	 */
	void respond(int status, HttpHeaders headers, byte[] body);

	/**
	 * Sends a response that the router creates itself because the call is rejected.
	 * @param rejection the rejection
	 */
	default void reject(Rejection rejection) {
		respond(rejection.status(), RejectionResponse.headers(rejection), RejectionResponse.body(rejection));
	}

	/**
	 * Starts a response whose body is sent in parts.
	 * @param status the HTTP status
	 * @param headers headers without framing headers
	 */
	void startResponse(int status, HttpHeaders headers);

	/**
	 * Sends a part of the response body.
	 * @param content the bytes, which this method releases
	 */
	void sendContent(ByteBuf content);

	/**
	 * Ends a started response.
	 */
	void endResponse();

	/**
	 * Closes the connection, so that the caller detects that the response is incomplete.
	 */
	void abort();

	/**
	 * Returns whether the caller reads the response as fast as it is written.
	 * @return false while too many written bytes are unsent
	 */
	boolean isWritable();

	/**
	 * Reads what has arrived from the caller, and returns whether its connection is still
	 * open. Must not be called while the channel of the caller is being read.
	 * @return false once the end of the connection has been read
	 */
	boolean readAndCheckConnection();

}
