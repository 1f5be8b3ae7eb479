package org.mustardlane.router.caller;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * Reads what the head of a request says.
 *
 * @param organisation the organisation that the caller names
 * @param organisationKey the key that proves it
 * @param entry the catalogue entry
 * @param chatId the chat
 * @param idempotencyKey the idempotency key
 * @param deadlineMillis when the caller gives up
 * @param contentType media type of the body, empty where the caller gave none
 * @param arrivedAtMillis when the head arrived
 */
record CallerHeaders(OrganisationId organisation, String organisationKey, EntryName entry, Optional<String> chatId,
		Optional<String> idempotencyKey, Optional<Long> deadlineMillis, String contentType, long arrivedAtMillis) {

	private static final String PATH_PREFIX = "/v1/";

	private static final String ORGANISATION = "X-Organisation";

	private static final String ORGANISATION_KEY = "X-Organisation-Key";

	private static final String TIMEOUT_MILLIS = "X-Timeout-Millis";

	/**
	 * Reads the head.
	 * @param head the head
	 * @param nowMillis the time
	 * @return what it says
	 * @throws ProtocolException if it does not make a request
	 */
	static CallerHeaders read(HttpRequest head, long nowMillis) throws ProtocolException {
		HttpHeaders headers = head.headers();
		return new CallerHeaders(new OrganisationId(required(headers, ORGANISATION)),
				required(headers, ORGANISATION_KEY), entry(head.uri()), single(headers, "X-Chat-Id"),
				single(headers, "Idempotency-Key"), deadline(headers, nowMillis),
				single(headers, "Content-Type").orElse(""), nowMillis);
	}

	/**
	 * Joins the head with the digest of the body.
	 * @param bodyDigest digest of the body by SHA-256
	 * @param bodyBytes size of the body
	 * @return the request
	 */
	CallerRequest withBody(byte[] bodyDigest, int bodyBytes) {
		return new CallerRequest(this.organisation, this.organisationKey, this.entry, this.chatId, this.idempotencyKey,
				bodyDigest, bodyBytes, this.arrivedAtMillis, this.deadlineMillis);
	}

	private static EntryName entry(String uri) throws ProtocolException {
		String name = uri.startsWith(PATH_PREFIX) ? uri.substring(PATH_PREFIX.length()) : "";
		if (name.isEmpty() || name.indexOf('/') >= 0 || name.indexOf('?') >= 0) {
			throw new ProtocolException(ProtocolError.UNKNOWN_PATH, "");
		}
		return new EntryName(name);
	}

	private static String required(HttpHeaders headers, String name) throws ProtocolException {
		return single(headers, name)
			.orElseThrow(() -> new ProtocolException(ProtocolError.BAD_HEADER, name + " is required"));
	}

	private static Optional<String> single(HttpHeaders headers, String name) throws ProtocolException {
		if (headers.getAll(name).size() > 1) {
			throw new ProtocolException(ProtocolError.BAD_HEADER, name + " is given more than once");
		}
		return Optional.ofNullable(headers.get(name)).map(String::strip).filter((value) -> !value.isEmpty());
	}

	private static Optional<Long> deadline(HttpHeaders headers, long nowMillis) throws ProtocolException {
		Optional<String> text = single(headers, TIMEOUT_MILLIS);
		if (text.isEmpty()) {
			return Optional.empty();
		}
		try {
			int timeoutMillis = Integer.parseInt(text.get());
			if (timeoutMillis > 0) {
				return Optional.of(nowMillis + timeoutMillis);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below like a number out of range.
		}
		throw new ProtocolException(ProtocolError.BAD_HEADER, TIMEOUT_MILLIS + " is not a positive whole number");
	}

}
