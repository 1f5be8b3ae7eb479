package org.mustardlane.standin.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Converts between Java values and JSON bodies.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private Json() {
	}

	/**
	 * Writes a value as JSON.
	 * @param value the value
	 * @return the bytes
	 * @throws IllegalArgumentException if the value cannot be written as JSON
	 */
	public static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("value has no JSON form", ex);
		}
	}

	/**
	 * Parses a JSON document.
	 * @param body the bytes
	 * @return the document
	 * @throws IOException if the bytes are not JSON
	 */
	public static JsonNode read(byte[] body) throws IOException {
		return MAPPER.readTree(body);
	}

	/**
	 * Parses a JSON document into a value.
	 * @param <T> the type of the value
	 * @param body the bytes
	 * @param type the class of the value
	 * @return the value
	 * @throws IOException if the bytes do not match the type
	 */
	public static <T> T read(byte[] body, Class<T> type) throws IOException {
		return MAPPER.readValue(body, type);
	}

	/**
	 * Parses a JSON object; fields that it lacks take their values from the defaults.
	 * @param <T> the type of the value
	 * @param defaults the values of missing fields
	 * @param body the bytes
	 * @param type the class of the value
	 * @return the value
	 * @throws IOException if the bytes do not match the type
	 */
	public static <T> T readWithDefaults(T defaults, byte[] body, Class<T> type) throws IOException {
		ObjectNode merged = MAPPER.valueToTree(defaults);
		JsonNode overrides = MAPPER.readTree(body);
		if (overrides instanceof ObjectNode object) {
			merged.setAll(object);
		}
		return MAPPER.treeToValue(merged, type);
	}

}
