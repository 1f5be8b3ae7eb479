package org.mustardlane.gateway.front;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;

import org.mustardlane.gateway.wire.MalformedCallException;

/**
 * Refuses framing that two readers could understand differently.
 */
final class FramingRules {

	private FramingRules() {
	}

	/**
	 * Checks the framing headers of a request.
	 * @param request the head
	 * @throws MalformedCallException if they are ambiguous
	 */
	static void validate(HttpMessage request) throws MalformedCallException {
		List<String> transferEncodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!transferEncodings.isEmpty()) {
			boolean chunked = transferEncodings.size() == 1
					&& HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferEncodings.get(0).strip());
			if (!chunked || !HttpVersion.HTTP_1_1.equals(request.protocolVersion())) {
				throw new MalformedCallException("Transfer-Encoding may only be 'chunked'");
			}
		}
		if (request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
			throw new MalformedCallException("Content-Length is doubled");
		}
	}

}
