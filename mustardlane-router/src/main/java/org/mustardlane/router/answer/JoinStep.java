package org.mustardlane.router.answer;

import java.util.OptionalLong;

/**
 * What a joined reader does next.
 *
 * @param kind what
 * @param head the head, meant with {@code BEGIN}
 * @param part the bytes, meant with {@code PART}
 */
record JoinStep(Kind kind, AnswerHead head, byte[] part) {

	private static final AnswerHead NO_HEAD = new AnswerHead(0, "", OptionalLong.empty());

	private static final byte[] NO_PART = {};

	static JoinStep none() {
		return new JoinStep(Kind.NONE, NO_HEAD, NO_PART);
	}

	static JoinStep begin(AnswerHead head) {
		return new JoinStep(Kind.BEGIN, head, NO_PART);
	}

	static JoinStep part(byte[] part) {
		return new JoinStep(Kind.PART, NO_HEAD, part);
	}

	static JoinStep finish() {
		return new JoinStep(Kind.FINISH, NO_HEAD, NO_PART);
	}

	static JoinStep broken() {
		return new JoinStep(Kind.BROKEN, NO_HEAD, NO_PART);
	}

	/**
	 * Kinds of steps.
	 */
	enum Kind {

		/**
		 * Nothing for now.
		 */
		NONE,

		/**
		 * Take the head.
		 */
		BEGIN,

		/**
		 * Take a part of the body.
		 */
		PART,

		/**
		 * The answer is whole.
		 */
		FINISH,

		/**
		 * The answer can not be had.
		 */
		BROKEN

	}

}
