package org.mustardlane.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A line of a gateway log that records an event.
 *
 * @param at time of the line on the clock of its VM, in ISO 8601
 * @param vm VM of the gateway
 * @param event kind of the event
 * @param fields the other fields of the event, by name
 */
record LogLine(String at, String vm, String event, Map<String, String> fields) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String EVENT = "event";

	/**
	 * Parses a line. Text before the JSON object, such as the timestamp of a log
	 * collector, is ignored.
	 * @param line a line of text
	 * @return the log line, or empty if the text does not contain an event
	 */
	static Optional<LogLine> parse(String line) {
		int start = line.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			JsonNode root = MAPPER.readTree(line.substring(start));
			JsonNode message = root.path("message");
			Instant.parse(root.path("time").asText());
			if (!message.path(EVENT).isTextual()) {
				return Optional.empty();
			}
			Map<String, String> fields = new TreeMap<>();
			message.fields().forEachRemaining((field) -> fields.put(field.getKey(), field.getValue().asText()));
			fields.remove(EVENT);
			return Optional.of(new LogLine(root.path("time").asText(), root.path("vm").asText(),
					message.path(EVENT).asText(), fields));
		}
		catch (JsonProcessingException | DateTimeParseException ex) {
			// Other programs may write to the same file; their lines are ignored.
			return Optional.empty();
		}
	}

	Instant instant() {
		return Instant.parse(this.at);
	}

	String field(String name) {
		return this.fields.getOrDefault(name, "");
	}

	/**
	 * Formats the line as plain text.
	 * @return time, VM, event and fields
	 */
	String text() {
		String fieldsText = this.fields.entrySet()
			.stream()
			.filter((field) -> !field.getValue().isEmpty())
			.map((field) -> field.getKey() + "=" + field.getValue())
			.collect(Collectors.joining(" "));
		return "%s  %-20s %-20s %s".formatted(this.at, this.vm, this.event, fieldsText);
	}

}
