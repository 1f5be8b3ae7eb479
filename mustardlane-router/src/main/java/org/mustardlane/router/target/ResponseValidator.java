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
 * Checks that a response belongs to its attempt and is whole.
 *
 * @param start the attempt
 * @param attemptName the name that the target must echo
 */
record AnswerCheck(StartAttempt start, String attemptName) {

	/**
	 * Header that names the attempt.
	 */
	static final String REQUEST_ID = "X-Request-Id";

	private static final String NOT_STARTED = "X-Not-Started";

	private static final String ANSWER_BYTES = "X-Answer-Bytes";

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int SERVICE_UNAVAILABLE = 503;

	/**
	 * Checks whether a head belongs to the attempt.
	 * @param headers the headers
	 * @return whether the target echoes the name of the attempt
	 */
	boolean echoes(HttpHeaders headers) {
		return this.attemptName.equals(headers.get(REQUEST_ID));
	}

	/**
	 * Checks whether a head is a final word by itself.
	 * @param status status of the response
	 * @param headers the headers
	 * @return the end that the head means, or empty where a response follows
	 */
	Optional<AttemptResult> endOf(int status, HttpHeaders headers) {
		if (status == SERVICE_UNAVAILABLE && Boolean.parseBoolean(headers.get(NOT_STARTED))) {
			return Optional.of(AttemptResult.REFUSED);
		}
		if (status == NOT_FOUND && this.start.kind() == AttemptKind.RESUME) {
			return Optional.of(AttemptResult.GENERATION_LOST);
		}
		return Optional.empty();
	}

	/**
	 * Checks whether a response that has ended is whole.
	 * @param status status of the response
	 * @param announcedBytes size announced in the head
	 * @param trailers the trailers
	 * @param receivedBytes bytes received
	 * @return what is missing, or empty where the response is whole
	 */
	Optional<String> missing(int status, OptionalLong announcedBytes, HttpHeaders trailers, long receivedBytes) {
		if (this.start.target().kind() == TargetKind.ENGINE && status == OK) {
			return missingOfStream(trailers.get(ANSWER_BYTES), receivedBytes);
		}
		if (announcedBytes.isEmpty()) {
			return Optional.of("no Content-Length");
		}
		return (announcedBytes.getAsLong() == receivedBytes) ? Optional.empty()
				: Optional.of("Content-Length " + announcedBytes.getAsLong() + ", received " + receivedBytes);
	}

	private Optional<String> missingOfStream(String answerBytes, long receivedBytes) {
		if (answerBytes == null) {
			return Optional.of("no " + ANSWER_BYTES + " trailer");
		}
		long before = (this.start.kind() != AttemptKind.FRESH) ? this.start.offsetBytes() : 0;
		long total = before + receivedBytes;
		return answerBytes.equals(Long.toString(total)) ? Optional.empty()
				: Optional.of(ANSWER_BYTES + " " + answerBytes + ", received " + total);
	}

	/**
	 * Reads the announced size of a response.
	 * @param headers the headers
	 * @return the size, or empty where the head announces none
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
