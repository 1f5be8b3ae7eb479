package org.mustardlane.gateway.front;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Creates the headers and the body of the response to a rejected call.
 */
public final class RejectionResponse {

	private static final double MILLIS_PER_SECOND = 1000;

	private RejectionResponse() {
	}

	/**
	 * Creates the headers of the response.
	 * @param rejection the rejection
	 * @return the headers
	 */
	public static HttpHeaders headers(Rejection rejection) {
		HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		rejection.retryAfterMillis()
			.ifPresent((millis) -> headers.set(HttpHeaderNames.RETRY_AFTER,
					String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)));
		return headers;
	}

	/**
	 * Creates the body of the response.
	 * @param rejection the rejection
	 * @return the reason as UTF-8 text
	 */
	public static byte[] body(Rejection rejection) {
		return (rejection.reason() + "\n").getBytes(StandardCharsets.UTF_8);
	}

}
