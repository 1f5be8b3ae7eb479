package org.mustardlane.gateway.target;

import io.netty.buffer.ByteBuf;

import org.mustardlane.gateway.wire.ResponseHead;

/**
 * Receives the events of a call to a target, on the event loop of the daemon.
 */
public interface CallListener {

	/**
	 * Called on the arrival of the response head.
	 * @param head head of the response
	 */
	void onHead(ResponseHead head);

	/**
	 * Called on the arrival of a part of the response body.
	 * @param content the bytes; the caller of this method releases them
	 */
	void onContent(ByteBuf content);

	/**
	 * Called at the end of a complete response; no other event follows.
	 */
	void onComplete();

	/**
	 * Called if the call has failed; no other event follows.
	 * @param failure whether the request was sent before the failure
	 * @param detail description of the failure
	 */
	void onFailure(CallFailure failure, String detail);

}
