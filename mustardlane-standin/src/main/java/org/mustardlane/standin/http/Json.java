package org.mustardlane.standin.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes JSON bodies.
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
	 * @throws IllegalArgumentException if the value has no JSON form
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
	 * Reads a JSON document.
	 * @param body the bytes
	 * @return the document
	 * @throws IOException if the bytes are not JSON
	 */
	public static JsonNode read(byte[] body) throws IOException {
		return MAPPER.readTree(body);
	}

	/**
	 * Reads a JSON document as a value.
	 * @param <T> the type of the value
	 * @param body the bytes
	 * @param type the class of the value
	 * @return the value
	 * @throws IOException if the bytes do not describe such a value
	 */
	public static <T> T read(byte[] body, Class<T> type) throws IOException {
		return MAPPER.readValue(body, type);
	}

	/**
	 * Reads a JSON object whose missing fields take the values of a default.
	 * @param <T> the type of the value
	 * @param defaults the default
	 * @param body the bytes
	 * @param type the class of the value
	 * @return the value
	 * @throws IOException if the bytes do not describe such a value
	 */
	public static <T> T readWithDefaults(T defaults, byte[] body, Class<T> type) throws IOException {
		ObjectNode fields = MAPPER.valueToTree(defaults);
		JsonNode given = MAPPER.readTree(body);
		if (given instanceof ObjectNode object) {
			fields.setAll(object);
		}
		return MAPPER.treeToValue(fields, type);
	}

}
