package org.mustardlane.router.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Checks and parses the heads of requests before their bodies are read.
 */
final class RequestHeads {

	private RequestHeads() {
	}

	/**
	 * Checks and parses a head.
	 * @param head the head
	 * @param limits limits of the connection
	 * @param nowMillis the current time
	 * @return the parsed head
	 * @throws ProtocolException if the head is not valid or the body exceeds the limit
	 */
	static CallerHeaders parse(HttpRequest head, CallerLimits limits, long nowMillis) throws ProtocolException {
		HttpVersion version = head.protocolVersion();
		if (!HttpVersion.HTTP_1_1.equals(version) && !HttpVersion.HTTP_1_0.equals(version)) {
			throw new ProtocolException(ProtocolError.VERSION_NOT_SUPPORTED, "");
		}
		if (!HttpMethod.POST.equals(head.method())) {
			throw new ProtocolException(ProtocolError.METHOD_NOT_ALLOWED, "");
		}
		checkExpectation(head);
		CallerHeaders headers = CallerHeaders.parse(head, nowMillis);
		if (HttpUtil.getContentLength(head, 0L) > limits.bodyBytes()) {
			throw new ProtocolException(ProtocolError.BODY_TOO_LARGE, "at most " + limits.bodyBytes() + " bytes");
		}
		return headers;
	}

	private static void checkExpectation(HttpRequest head) throws ProtocolException {
		String expectation = head.headers().get(HttpHeaderNames.EXPECT);
		if (expectation != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
			throw new ProtocolException(ProtocolError.UNKNOWN_EXPECTATION, "");
		}
	}

}
