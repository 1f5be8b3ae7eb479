package org.mustardlane.standin.target;

/**
 * Names of the HTTP headers between routers and targets.
 */
public final class TargetHeaders {

	/**
	 * Id of the request and its attempt.
	 */
	public static final String REQUEST_ID = "X-Request-Id";

	/**
	 * Priority of the request; 0 is the most urgent, 2 the least.
	 */
	public static final String PRIORITY = "X-Priority";

	/**
	 * Id of the chat to which the request belongs.
	 */
	public static final String CHAT_ID = "X-Chat-Id";

	/**
	 * Key under which a request runs at most once.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Fencing number: the log offset of the claim of the request.
	 */
	public static final String FENCING_NUMBER = "X-Fencing-Number";

	/**
	 * Number of bytes at the end of the request body that are the beginning of the
	 * response, delivered by an earlier generation.
	 */
	public static final String CONTINUE_OFFSET = "X-Continue-Offset";

	/**
	 * Id of the generation that produces the response.
	 */
	public static final String GENERATION_ID = "X-Generation-Id";

	/**
	 * Trailer with the length of the complete response in bytes.
	 */
	public static final String RESPONSE_BYTES = "X-Answer-Bytes";

	/**
	 * Marks a response to a request that was rejected before it started.
	 */
	public static final String NOT_STARTED = "X-Not-Started";

	private TargetHeaders() {
	}

}
