package org.mustardlane.gateway.wire;

import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes headers that concern one connection only.
 */
public final class HopByHopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length", "http2-settings");

	private HopByHopHeaders() {
	}

	/**
	 * Removes the headers, framing included.
	 * @param headers the headers to change
	 * @param kept names in lower case that stay even if the sender declares them to
	 * concern its connection
	 */
	public static void strip(HttpHeaders headers, Set<String> kept) {
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String token : value.split(",")) {
				String name = token.strip().toLowerCase(Locale.ROOT);
				if (!name.isEmpty() && !kept.contains(name)) {
					headers.remove(name);
				}
			}
		}
		NAMES.forEach(headers::remove);
	}

}
