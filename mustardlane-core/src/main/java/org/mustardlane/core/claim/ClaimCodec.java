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
 * Writes and reads the records of the claims streams.
 *
 * <p>
 * A reader ignores fields that it does not know, so that a newer version may add some.
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
	 * Type of a record that only shows the time of the log.
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
	 * Writes a fact.
	 * @param fact the fact
	 * @return the record
	 */
	static RecordBody encode(ClaimFact fact) {
		if (fact instanceof ClaimMade) {
			return new RecordBody(CLAIM, bytes(fact));
		}
		return new RecordBody((fact instanceof ClaimReleased) ? RELEASE : COMPLETION, bytes(fact));
	}

	/**
	 * Writes a checkpoint.
	 * @param checkpoint the checkpoint
	 * @return the record
	 */
	static RecordBody encode(ClaimsCheckpoint checkpoint) {
		return new RecordBody(CHECKPOINT, bytes(checkpoint));
	}

	/**
	 * Writes a record that only shows the time of the log.
	 * @return the record
	 */
	static RecordBody marker() {
		return new RecordBody(MARKER, new byte[0]);
	}

	/**
	 * Reads the body of a record.
	 * @param <T> kind of content
	 * @param record the record
	 * @param kind kind of content
	 * @return the content
	 * @throws IOException if the body is not of this kind
	 */
	static <T> T decode(LogRecord record, Class<T> kind) throws IOException {
		T content = MAPPER.readValue(record.body(), kind);
		if (content == null) {
			throw new IOException("empty body");
		}
		return content;
	}

	private static byte[] bytes(Object content) {
		try {
			return MAPPER.writeValueAsBytes(content);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
