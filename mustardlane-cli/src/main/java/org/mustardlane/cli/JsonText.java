package org.mustardlane.cli;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Formats reports as JSON.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class JsonText {

	private static final ObjectMapper MAPPER = JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

	private JsonText() {
	}

	static String format(Report report) throws CommandException {
		try {
			return MAPPER.writeValueAsString(report) + "\n";
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.INTERNAL_ERROR, "the report can not be written as JSON");
		}
	}

}
