package org.mustardlane.router.caller;

/**
 * Errors that a connection of a caller detects itself, such as invalid HTTP. Names,
 * statuses and messages are part of the contract with callers.
 */
enum ProtocolError {

	/**
	 * The bytes are not HTTP.
	 */
	MALFORMED_HTTP(400, "The request is not well-formed HTTP/1.1"),

	/**
	 * The connection ended before the body of the request was complete.
	 */
	TRUNCATED_BODY(400, "The connection ended before the body did"),

	/**
	 * A required header is absent or not valid.
	 */
	BAD_HEADER(400, "A header is absent or not valid"),

	/**
	 * The path is not that of a catalogue entry.
	 */
	UNKNOWN_PATH(404, "The path is not /v1/{entry}"),

	/**
	 * The method is not POST.
	 */
	METHOD_NOT_ALLOWED(405, "Only POST is served"),

	/**
	 * The caller took too long to send its request.
	 */
	IDLE_TIMEOUT(408, "No byte of the request arrived within the idle limit"),

	/**
	 * The body exceeds the limit of the router.
	 */
	BODY_TOO_LARGE(413, "The body is above the limit"),

	/**
	 * The request line exceeds the limit.
	 */
	LINE_TOO_LONG(414, "The request line is above the limit"),

	/**
	 * The header {@code Expect} has a value other than {@code 100-continue}.
	 */
	UNKNOWN_EXPECTATION(417, "Only the expectation 100-continue is served"),

	/**
	 * The headers exceed the limit.
	 */
	HEADERS_TOO_LARGE(431, "The headers are above the limit"),

	/**
	 * The response is too large to be buffered for an HTTP/1.0 caller.
	 */
	ANSWER_TOO_LARGE(502, "The answer is too large for an HTTP/1.0 caller"),

	/**
	 * The bodies of all requests together exceed the limit of the router.
	 */
	ROUTER_FULL(503, "The router holds as many requests as it may"),

	/**
	 * The version of HTTP is not supported.
	 */
	VERSION_NOT_SUPPORTED(505, "Only HTTP/1.0 and HTTP/1.1 are served");

	private final int status;

	private final String message;

	ProtocolError(int status, String message) {
		this.status = status;
		this.message = message;
	}

	int status() {
		return this.status;
	}

	String message() {
		return this.message;
	}

}
