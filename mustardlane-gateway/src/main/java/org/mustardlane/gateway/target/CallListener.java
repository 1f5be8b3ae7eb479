package org.mustardlane.gateway.target;

import io.netty.buffer.ByteBuf;

import org.mustardlane.gateway.wire.AnswerHead;

/**
 * Is told what becomes of a call at a target; called on the event loop of the daemon.
 */
public interface CallListener {

	/**
	 * The head of the answer has arrived.
	 * @param head the head
	 */
	void headReceived(AnswerHead head);

	/**
	 * A part of the body has arrived.
	 * @param content the bytes, released by the caller of this method
	 */
	void contentReceived(ByteBuf content);

	/**
	 * The answer has ended as its framing says; nothing follows.
	 */
	void completed();

	/**
	 * The call has failed; nothing follows.
	 * @param failure what is known of it
	 * @param detail what was seen
	 */
	void failed(CallFailure failure, String detail);

}
