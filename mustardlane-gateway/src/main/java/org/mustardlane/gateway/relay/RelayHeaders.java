package org.mustardlane.gateway.relay;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.gateway.wire.MalformedCallException;

/**
 * Headers that two routers exchange about a call that one of them has passed on. They are
 * read only on connections between routers, and removed there.
 */
public final class RelayHeaders {

	/**
	 * Id of the call, in each response.
	 */
	private static final String CALL = "Mustardlane-Relay-Call";

	/**
	 * Present if the response is the router's own and not that of a target.
	 */
	private static final String OWN_RESPONSE = "Mustardlane-Relay-Own";

	private static final String ROUTES_VERSION = "Mustardlane-Relay-Routes";

	private static final String TARGET = "Mustardlane-Relay-Target";

	private static final String POOL = "Mustardlane-Relay-Pool";

	private static final String SOFTWARE_VERSION = "Mustardlane-Relay-Version";

	private static final List<String> ALL = List.of(CALL, OWN_RESPONSE, ROUTES_VERSION, TARGET, POOL, SOFTWARE_VERSION);

	private RelayHeaders() {
	}

	/**
	 * Writes what another router has to know about a call.
	 * @param headers headers of the request
	 * @param request what the router has to know
	 */
	public static void writeRequest(HttpHeaders headers, RelayRequest request) {
		ALL.forEach(headers::remove);
		headers.set(ROUTES_VERSION, Long.toString(request.routesVersion()));
		request.origin().ifPresent((origin) -> writeVersion(headers, origin));
	}

	/**
	 * Reads and removes what the other router has written.
	 * @param headers headers of the request
	 * @return what the other router has written
	 * @throws MalformedCallException if a header is missing or invalid
	 */
	public static RelayRequest takeRequest(HttpHeaders headers) throws MalformedCallException {
		try {
			long routesVersion = Long.parseLong(headers.get(ROUTES_VERSION, ""));
			Optional<PoolVersion> origin = readVersion(headers);
			ALL.forEach(headers::remove);
			return new RelayRequest(routesVersion, origin);
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedCallException("The headers of the router are invalid: " + ex.getMessage());
		}
	}

	/**
	 * Marks a response with the call that it belongs to.
	 * @param headers headers of the response
	 * @param requestId id of the call
	 * @param own whether the response is the router's own
	 */
	static void markResponse(HttpHeaders headers, String requestId, boolean own) {
		headers.set(CALL, requestId);
		headers.remove(OWN_RESPONSE);
		if (own) {
			headers.set(OWN_RESPONSE, "1");
		}
	}

	/**
	 * Writes which target has sent a response.
	 * @param headers headers of the response
	 * @param target the target
	 */
	public static void writeTarget(HttpHeaders headers, TargetEntry target) {
		headers.set(TARGET, encode(target.id().value()));
		writeVersion(headers, new PoolVersion(target.pool(), target.softwareVersion()));
	}

	/**
	 * Reads and removes what the other router says of a response.
	 * @param headers headers of the response
	 * @return what the other router says
	 */
	public static RelayResponse takeResponse(HttpHeaders headers) {
		RelayResponse response = new RelayResponse(headers.contains(OWN_RESPONSE),
				decode(headers, TARGET).map(TargetId::new), readVersion(headers));
		ALL.forEach(headers::remove);
		return response;
	}

	/**
	 * Reads which call a response belongs to.
	 * @param headers headers of the response
	 * @return id of the call, empty if the response has none
	 */
	static Optional<String> callOf(HttpHeaders headers) {
		return Optional.ofNullable(headers.get(CALL));
	}

	private static void writeVersion(HttpHeaders headers, PoolVersion version) {
		headers.set(POOL, encode(version.pool().value()));
		headers.set(SOFTWARE_VERSION, encode(version.softwareVersion()));
	}

	private static Optional<PoolVersion> readVersion(HttpHeaders headers) {
		Optional<String> softwareVersion = decode(headers, SOFTWARE_VERSION);
		return decode(headers, POOL)
			.flatMap((pool) -> softwareVersion.map((version) -> new PoolVersion(new PoolId(pool), version)));
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private static Optional<String> decode(HttpHeaders headers, String name) {
		return Optional.ofNullable(headers.get(name)).map((text) -> URLDecoder.decode(text, StandardCharsets.UTF_8));
	}

}
