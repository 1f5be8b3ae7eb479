package org.mustardlane.gateway.wire;

import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes hop-by-hop headers, which apply to a single connection.
 */
public final class HopByHopHeaders {

	private static final Set<String> HOP_BY_HOP_NAMES = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length", "http2-settings");

	private HopByHopHeaders() {
	}

	/**
	 * Removes the hop-by-hop headers, the framing headers included.
	 * @param headers the headers to change
	 * @param endToEndNames names in lower case that stay even if the Connection header
	 * lists them
	 */
	public static void strip(HttpHeaders headers, Set<String> endToEndNames) {
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String token : value.split(",")) {
				String name = token.strip().toLowerCase(Locale.ROOT);
				if (!name.isEmpty() && !endToEndNames.contains(name)) {
					headers.remove(name);
				}
			}
		}
		HOP_BY_HOP_NAMES.forEach(headers::remove);
	}

}
