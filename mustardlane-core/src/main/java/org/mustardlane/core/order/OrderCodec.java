package org.mustardlane.core.order;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;

/**
 * Encodes and decodes the records of the orders stream.
 */
final class OrderCodec {

	private static final Map<String, Class<? extends OrderRecord>> TYPES = Map.of("order-lease.v1",
			OrderRecord.Lease.class, "order-decision.v1", OrderRecord.Decision.class, "order-issue.v1",
			OrderRecord.Issue.class, "order-end.v1", OrderRecord.End.class);

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.build();

	private OrderCodec() {
	}

	/**
	 * Encodes a record.
	 * @param record the content
	 * @return the record body
	 */
	static RecordBody encode(OrderRecord record) {
		String type = TYPES.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isInstance(record))
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseThrow();
		try {
			return new RecordBody(type, MAPPER.writeValueAsBytes(record));
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param record the record
	 * @return the content, or empty if the type is unknown or the body is a JSON null
	 * @throws IOException if the body is not valid JSON of the type
	 */
	static Optional<OrderRecord> decode(LogRecord record) throws IOException {
		Class<? extends OrderRecord> type = TYPES.get(record.type());
		if (type == null) {
			return Optional.empty();
		}
		return Optional.ofNullable(MAPPER.readValue(record.body(), type));
	}

}
