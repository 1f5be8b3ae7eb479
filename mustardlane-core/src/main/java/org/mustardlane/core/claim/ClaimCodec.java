package org.mustardlane.core.claim;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;

/**
 * Encodes and decodes the records of the claims streams.
 *
 * <p>
 * Unknown fields are ignored when decoding, so that a newer version may add fields.
 */
final class ClaimCodec {

	/**
	 * Type of a record that holds a {@link ClaimMade}.
	 */
	static final String CLAIM = "claim.v1";

	/**
	 * Type of a record that holds a {@link ClaimReleased}.
	 */
	static final String RELEASE = "release.v1";

	/**
	 * Type of a record that holds a {@link ClaimCompleted}.
	 */
	static final String COMPLETION = "completion.v1";

	/**
	 * Type of a record that holds a {@link ClaimsCheckpoint}.
	 */
	static final String CHECKPOINT = "claims-checkpoint.v1";

	/**
	 * Type of a record that has no content and only shows the current time of the log.
	 */
	static final String MARKER = "claims-marker.v1";

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.build();

	private ClaimCodec() {
	}

	/**
	 * Encodes a claim, release or completion.
	 * @param fact the content
	 * @return the record body
	 */
	static RecordBody encode(ClaimFact fact) {
		if (fact instanceof ClaimMade) {
			return new RecordBody(CLAIM, toJson(fact));
		}
		return new RecordBody((fact instanceof ClaimReleased) ? RELEASE : COMPLETION, toJson(fact));
	}

	/**
	 * Encodes a checkpoint.
	 * @param checkpoint the checkpoint
	 * @return the record body
	 */
	static RecordBody encode(ClaimsCheckpoint checkpoint) {
		return new RecordBody(CHECKPOINT, toJson(checkpoint));
	}

	/**
	 * Creates a record that has no content and only shows the current time of the log.
	 * @return the record body
	 */
	static RecordBody createMarker() {
		return new RecordBody(MARKER, new byte[0]);
	}

	/**
	 * Decodes the body of a record.
	 * @param <T> type of the content
	 * @param record the record
	 * @param contentType class of the content
	 * @return the content
	 * @throws IOException if the body is not valid JSON of this class
	 */
	static <T> T decode(LogRecord record, Class<T> contentType) throws IOException {
		T content = MAPPER.readValue(record.body(), contentType);
		if (content == null) {
			throw new IOException("empty body");
		}
		return content;
	}

	private static byte[] toJson(Object content) {
		try {
			return MAPPER.writeValueAsBytes(content);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
