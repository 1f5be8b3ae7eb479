package org.mustardlane.router.caller;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * Parsed head of a request.
 *
 * @param organisation organisation of the caller
 * @param organisationKey key that authenticates the organisation
 * @param entry catalogue entry that is called
 * @param chatId id of the chat, if given
 * @param idempotencyKey the idempotency key, if given
 * @param deadlineMillis time at which the caller stops waiting, if given
 * @param contentType media type of the body, empty if the caller gave none
 * @param arrivedAtMillis time at which the head arrived
 */
record CallerHeaders(OrganisationId organisation, String organisationKey, EntryName entry, Optional<String> chatId,
		Optional<String> idempotencyKey, Optional<Long> deadlineMillis, String contentType, long arrivedAtMillis) {

	private static final String PATH_PREFIX = "/v1/";

	private static final String ORGANISATION = "X-Organisation";

	private static final String ORGANISATION_KEY = "X-Organisation-Key";

	private static final String TIMEOUT_MILLIS = "X-Timeout-Millis";

	/**
	 * Parses the head of a request.
	 * @param head the head
	 * @param nowMillis the current time
	 * @return the parsed head
	 * @throws ProtocolException if the path or a header is not valid
	 */
	static CallerHeaders parse(HttpRequest head, long nowMillis) throws ProtocolException {
		HttpHeaders headers = head.headers();
		return new CallerHeaders(new OrganisationId(requiredHeader(headers, ORGANISATION)),
				requiredHeader(headers, ORGANISATION_KEY), parseEntry(head.uri()), optionalHeader(headers, "X-Chat-Id"),
				optionalHeader(headers, "Idempotency-Key"), parseDeadline(headers, nowMillis),
				optionalHeader(headers, "Content-Type").orElse(""), nowMillis);
	}

	/**
	 * Combines the head with the digest and the size of the body.
	 * @param bodyDigest the SHA-256 digest of the body
	 * @param bodyBytes size of the body
	 * @return the request
	 */
	CallerRequest toCallerRequest(byte[] bodyDigest, int bodyBytes) {
		return new CallerRequest(this.organisation, this.organisationKey, this.entry, this.chatId, this.idempotencyKey,
				bodyDigest, bodyBytes, this.arrivedAtMillis, this.deadlineMillis);
	}

	private static EntryName parseEntry(String uri) throws ProtocolException {
		String name = uri.startsWith(PATH_PREFIX) ? uri.substring(PATH_PREFIX.length()) : "";
		if (name.isEmpty() || name.indexOf('/') >= 0 || name.indexOf('?') >= 0) {
			throw new ProtocolException(ProtocolError.UNKNOWN_PATH, "");
		}
		return new EntryName(name);
	}

	private static String requiredHeader(HttpHeaders headers, String name) throws ProtocolException {
		return optionalHeader(headers, name)
			.orElseThrow(() -> new ProtocolException(ProtocolError.BAD_HEADER, name + " is required"));
	}

	private static Optional<String> optionalHeader(HttpHeaders headers, String name) throws ProtocolException {
		if (headers.getAll(name).size() > 1) {
			throw new ProtocolException(ProtocolError.BAD_HEADER, name + " is given more than once");
		}
		return Optional.ofNullable(headers.get(name)).map(String::strip).filter((value) -> !value.isEmpty());
	}

	private static Optional<Long> parseDeadline(HttpHeaders headers, long nowMillis) throws ProtocolException {
		Optional<String> text = optionalHeader(headers, TIMEOUT_MILLIS);
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
			// Rejected by the exception after this block, like a number that is not
			// positive.
		}
		throw new ProtocolException(ProtocolError.BAD_HEADER, TIMEOUT_MILLIS + " is not a positive whole number");
	}

}
