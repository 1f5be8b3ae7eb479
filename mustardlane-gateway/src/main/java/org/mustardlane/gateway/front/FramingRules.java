package org.mustardlane.gateway.front;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;

import org.mustardlane.gateway.wire.MalformedCallException;

/**
 * Rejects ambiguous framing headers, which two HTTP implementations could interpret
 * differently (request smuggling).
 */
final class FramingRules {

	private FramingRules() {
	}

	/**
	 * Validates the framing headers of a request.
	 * @param request the request
	 * @throws MalformedCallException if the framing is ambiguous
	 */
	static void validate(HttpMessage request) throws MalformedCallException {
		List<String> transferEncodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!transferEncodings.isEmpty()) {
			boolean isChunked = transferEncodings.size() == 1
					&& HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferEncodings.get(0).strip());
			if (!isChunked || !HttpVersion.HTTP_1_1.equals(request.protocolVersion())) {
				throw new MalformedCallException("Transfer-Encoding may only be 'chunked'");
			}
		}
		if (request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
			throw new MalformedCallException("Content-Length is doubled");
		}
	}

}
