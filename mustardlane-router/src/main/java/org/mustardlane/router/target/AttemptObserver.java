package org.mustardlane.router.target;

import java.util.Optional;

import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.router.answer.AnswerHead;

/**
 * Is told what becomes of an attempt; called on threads of the HTTP client.
 */
public interface AttemptObserver {

	/**
	 * The head of the response has arrived.
	 * @param head the head
	 * @param generationId name under which the engine keeps the generation
	 */
	void headReceived(AnswerHead head, Optional<String> generationId);

	/**
	 * A part of a forwarded response has arrived.
	 * @param part the bytes
	 * @param totalBytes bytes of this attempt so far
	 * @param ready to be run once the next part may come
	 */
	void partReceived(byte[] part, long totalBytes, Runnable ready);

	/**
	 * The attempt has ended; nothing follows.
	 * @param end how
	 * @param detail what was seen
	 */
	void ended(AttemptResult end, String detail);

}
