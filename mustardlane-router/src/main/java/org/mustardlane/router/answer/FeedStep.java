package org.mustardlane.router.answer;

import java.util.OptionalLong;

/**
 * Next step of a {@link SinkFeeder}.
 *
 * @param kind kind of the step
 * @param head the head to pass on, used with {@code BEGIN} only
 * @param part the bytes to pass on, used with {@code PART} only
 */
record FeedStep(Kind kind, ResponseHead head, byte[] part) {

	private static final ResponseHead NO_HEAD = new ResponseHead(0, "", OptionalLong.empty());

	private static final byte[] NO_PART = {};

	static FeedStep await() {
		return new FeedStep(Kind.WAIT, NO_HEAD, NO_PART);
	}

	static FeedStep begin(ResponseHead head) {
		return new FeedStep(Kind.BEGIN, head, NO_PART);
	}

	static FeedStep part(byte[] part) {
		return new FeedStep(Kind.PART, NO_HEAD, part);
	}

	static FeedStep finish() {
		return new FeedStep(Kind.FINISH, NO_HEAD, NO_PART);
	}

	static FeedStep abort() {
		return new FeedStep(Kind.ABORT, NO_HEAD, NO_PART);
	}

	/**
	 * Kinds of steps.
	 */
	enum Kind {

		/**
		 * Wait, because no more of the response has arrived.
		 */
		WAIT,

		/**
		 * Pass the head on.
		 */
		BEGIN,

		/**
		 * Pass a part of the body on.
		 */
		PART,

		/**
		 * End the response, which is complete.
		 */
		FINISH,

		/**
		 * Abort, because the rest of the response is not available.
		 */
		ABORT

	}

}
