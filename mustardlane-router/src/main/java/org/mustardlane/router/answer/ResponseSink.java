package org.mustardlane.router.answer;

import org.mustardlane.core.model.execution.Refusal;

/**
 * Receives a response part by part, for example for the connection of a caller or for a
 * request that joined another one.
 *
 * <p>
 * One part is passed at a time: the next one follows after the sink has run the callback
 * of the previous one.
 */
public interface ResponseSink {

	/**
	 * Receives the head. Called once before the first part, and again after
	 * {@link #restart()}.
	 * @param head the head
	 */
	void begin(ResponseHead head);

	/**
	 * Receives a part of the body.
	 * @param part the bytes
	 * @param onReady to be run once the sink can receive the next part
	 */
	void write(byte[] part, Runnable onReady);

	/**
	 * Ends the response, which is complete.
	 */
	void finish();

	/**
	 * Ends a response that is not complete, in a way that its receiver can detect.
	 * @param refusal the reason
	 */
	void abort(Refusal refusal);

	/**
	 * Returns whether the sink buffers a response until it is complete, so that nothing
	 * of a broken response reaches the receiver.
	 * @param head head of the response
	 * @return whether the response is buffered
	 */
	default boolean buffersUntilComplete(ResponseHead head) {
		return false;
	}

	/**
	 * Discards the buffered response; the head of another response follows.
	 */
	default void restart() {
	}

}
