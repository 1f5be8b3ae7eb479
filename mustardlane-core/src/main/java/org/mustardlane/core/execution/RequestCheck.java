package org.mustardlane.core.execution;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Checks a request against the catalogue.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class RequestCheck {

	private static final long NOT_READY_RETRY_AFTER_MILLIS = 1000;

	private static final char SEPARATOR = '\0';

	private RequestCheck() {
	}

	/**
	 * Checks whether a request must be refused.
	 * @param request the request
	 * @param catalogue the catalogue in force
	 * @return the refusal, or empty if the request is allowed
	 */
	static Optional<Refusal> findRefusal(CallerRequest request, CatalogueSnapshot catalogue) {
		if (catalogue.revision() == 0) {
			return Optional.of(new Refusal(Outcome.NOT_RUN, RefusalCode.NOT_READY,
					"the router has not read the catalogue yet", NOT_READY_RETRY_AFTER_MILLIS));
		}
		if (!isAuthentic(request, catalogue)) {
			return refusal(RefusalCode.UNAUTHORIZED, "the organisation or its key is wrong");
		}
		CatalogueEntry entry = catalogue.entries().get(request.entry());
		if (entry == null) {
			return refusal(RefusalCode.UNKNOWN_ENTRY, "the catalogue has no entry " + request.entry());
		}
		if (request.bodyBytes() > entry.bodyLimitBytes()) {
			return refusal(RefusalCode.BODY_TOO_LARGE,
					"the body has " + request.bodyBytes() + " bytes, the entry allows " + entry.bodyLimitBytes());
		}
		if (!entry.idempotent() && request.idempotencyKey().isEmpty()) {
			return refusal(RefusalCode.KEY_REQUIRED, "the entry is non-idempotent: send an Idempotency-Key");
		}
		return Optional.empty();
	}

	/**
	 * Creates the accepted form of a request that {@link #findRefusal} has allowed.
	 * @param id identifier of the request
	 * @param request the request as it arrived
	 * @param catalogue the catalogue against which the request was checked
	 * @return the accepted request
	 */
	static AcceptedRequest accept(RequestId id, CallerRequest request, CatalogueSnapshot catalogue) {
		CatalogueEntry entry = catalogue.entries().get(request.entry());
		long limitMillis = request.arrivedAtMillis() + entry.answerLimitMillis();
		long deadlineMillis = Math.min(limitMillis, request.deadlineMillis().orElse(limitMillis));
		String chat = request.chatId().map((chatId) -> qualifiedName(request, chatId)).orElse(id.value());
		Optional<ClaimIdentity> claim = (!entry.idempotent())
				? request.idempotencyKey()
					.map((key) -> new ClaimIdentity(sha256(qualifiedName(request, key)), id.value()))
				: Optional.empty();
		return new AcceptedRequest(id, request, entry, deadlineMillis, RendezvousHash.hash(chat), claim);
	}

	private static boolean isAuthentic(CallerRequest request, CatalogueSnapshot catalogue) {
		Organisation organisation = catalogue.organisations().get(request.organisation());
		String expected = (organisation != null) ? organisation.keyDigest() : "";
		byte[] actual = sha256(request.organisationKey()).getBytes(StandardCharsets.US_ASCII);
		return MessageDigest.isEqual(actual, expected.getBytes(StandardCharsets.US_ASCII));
	}

	private static String qualifiedName(CallerRequest request, String name) {
		return request.organisation().value() + SEPARATOR + request.entry().value() + SEPARATOR + name;
	}

	private static Optional<Refusal> refusal(RefusalCode code, String message) {
		return Optional.of(new Refusal(Outcome.NOT_RUN, code, message, 0));
	}

	private static String sha256(String text) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
