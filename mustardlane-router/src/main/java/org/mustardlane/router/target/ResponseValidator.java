package org.mustardlane.router.target;

import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.execution.AttemptKind;
import org.mustardlane.core.model.execution.AttemptResult;

/**
 * Checks that a response belongs to its attempt and is complete.
 *
 * @param action action that started the attempt
 * @param attemptName name of the attempt, which the target must echo
 */
record ResponseValidator(StartAttempt action, String attemptName) {

	/**
	 * Header with the name of the attempt.
	 */
	static final String REQUEST_ID_HEADER = "X-Request-Id";

	private static final String NOT_STARTED_HEADER = "X-Not-Started";

	private static final String ANSWER_BYTES_TRAILER = "X-Answer-Bytes";

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int SERVICE_UNAVAILABLE = 503;

	/**
	 * Checks whether a response belongs to the attempt.
	 * @param headers headers of the response
	 * @return whether the target echoes the name of the attempt
	 */
	boolean echoesAttempt(HttpHeaders headers) {
		return this.attemptName.equals(headers.get(REQUEST_ID_HEADER));
	}

	/**
	 * Determines the result of the attempt if the response head alone decides it.
	 * @param status status of the response
	 * @param headers headers of the response
	 * @return the result, or empty if it depends on the body
	 */
	Optional<AttemptResult> resultOfHead(int status, HttpHeaders headers) {
		if (status == SERVICE_UNAVAILABLE && Boolean.parseBoolean(headers.get(NOT_STARTED_HEADER))) {
			return Optional.of(AttemptResult.REFUSED);
		}
		if (status == NOT_FOUND && this.action.kind() == AttemptKind.RESUME) {
			return Optional.of(AttemptResult.GENERATION_LOST);
		}
		return Optional.empty();
	}

	/**
	 * Checks whether a response that has ended is complete.
	 * @param status status of the response
	 * @param contentLength size announced in the response head
	 * @param trailers trailers of the response
	 * @param receivedBytes number of bytes received in this attempt
	 * @return description of the missing part, or empty if the response is complete
	 */
	Optional<String> findMissingPart(int status, OptionalLong contentLength, HttpHeaders trailers, long receivedBytes) {
		if (this.action.target().kind() == TargetKind.ENGINE && status == OK) {
			return findMissingInStream(trailers.get(ANSWER_BYTES_TRAILER), receivedBytes);
		}
		if (contentLength.isEmpty()) {
			return Optional.of("no Content-Length");
		}
		return (contentLength.getAsLong() == receivedBytes) ? Optional.empty()
				: Optional.of("Content-Length " + contentLength.getAsLong() + ", received " + receivedBytes);
	}

	private Optional<String> findMissingInStream(String announcedTotal, long receivedBytes) {
		if (announcedTotal == null) {
			return Optional.of("no " + ANSWER_BYTES_TRAILER + " trailer");
		}
		long offsetBytes = (this.action.kind() != AttemptKind.FRESH) ? this.action.offsetBytes() : 0;
		long totalBytes = offsetBytes + receivedBytes;
		return announcedTotal.equals(Long.toString(totalBytes)) ? Optional.empty()
				: Optional.of(ANSWER_BYTES_TRAILER + " " + announcedTotal + ", received " + totalBytes);
	}

	/**
	 * Returns the size of the body that the response head announces.
	 * @param headers headers of the response
	 * @return the size, or empty if none is announced or the header is not a number
	 */
	static OptionalLong contentLength(HttpHeaders headers) {
		String text = headers.get(HttpHeaderNames.CONTENT_LENGTH);
		if (text == null) {
			return OptionalLong.empty();
		}
		try {
			return OptionalLong.of(Long.parseLong(text));
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

}
