package org.mustardlane.router.target;

import java.util.Optional;

import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.router.answer.ResponseHead;

/**
 * Receives the progress and the result of an attempt. Called on threads of the HTTP
 * client.
 */
public interface AttemptObserver {

	/**
	 * Called when the response head has arrived.
	 * @param head the response head
	 * @param generationId id of the generation at the engine, empty if the target sent
	 * none
	 */
	void headReceived(ResponseHead head, Optional<String> generationId);

	/**
	 * Called when a part of a forwarded response has arrived.
	 * @param part bytes of the body
	 * @param totalBytes number of body bytes of this attempt so far, with this part
	 * @param onReady to be run when the observer can take the next part
	 */
	void partReceived(byte[] part, long totalBytes, Runnable onReady);

	/**
	 * Called once when the attempt has ended; no other call follows.
	 * @param result result of the attempt
	 * @param detail reason in words, which may be shown to the caller
	 */
	void attemptEnded(AttemptResult result, String detail);

}
