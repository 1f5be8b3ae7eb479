package org.mustardlane.standin.target;

/**
 * Names of the header fields between routers and targets.
 */
public final class TargetHeaders {

	/**
	 * The request and its attempt.
	 */
	public static final String REQUEST_ID = "X-Request-Id";

	/**
	 * The priority, 0 before 1 before 2.
	 */
	public static final String PRIORITY = "X-Priority";

	/**
	 * The chat.
	 */
	public static final String CHAT_ID = "X-Chat-Id";

	/**
	 * The key under which a request runs at most once.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * The log offset of the claim.
	 */
	public static final String FENCING_NUMBER = "X-Fencing-Number";

	/**
	 * How many bytes of the body are the beginning of the answer.
	 */
	public static final String CONTINUE_OFFSET = "X-Continue-Offset";

	/**
	 * The generation that answers.
	 */
	public static final String GENERATION_ID = "X-Generation-Id";

	/**
	 * The trailer with the length of the whole answer.
	 */
	public static final String ANSWER_BYTES = "X-Answer-Bytes";

	/**
	 * Says that a request was refused before it started.
	 */
	public static final String NOT_STARTED = "X-Not-Started";

	private TargetHeaders() {
	}

}
