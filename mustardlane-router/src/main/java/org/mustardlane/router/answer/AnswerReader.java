package org.mustardlane.router.answer;

import org.mustardlane.core.model.execution.Refusal;

/**
 * Takes an answer part by part: a caller's connection or a joined request.
 *
 * <p>
 * One part is handed over at a time; the next one follows once the reader has said that
 * it is ready.
 */
public interface AnswerReader {

	/**
	 * Takes the head; comes first and once.
	 * @param head the head
	 */
	void begin(AnswerHead head);

	/**
	 * Takes a part of the body.
	 * @param part the bytes
	 * @param ready to be run once the reader takes the next part
	 */
	void write(byte[] part, Runnable ready);

	/**
	 * Ends the answer: it is whole.
	 */
	void finish();

	/**
	 * Breaks the answer off in a way that the reader's user can see.
	 * @param refusal why
	 */
	void abort(Refusal refusal);

	/**
	 * Tells whether an answer is held back until it is whole.
	 * @param head its head
	 * @return whether nothing of a broken answer with this head is ever seen
	 */
	default boolean holds(AnswerHead head) {
		return false;
	}

	/**
	 * Forgets what is held back; the head of another answer follows.
	 */
	default void restart() {
	}

}
