package org.mustardlane.core.catalogue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;

/**
 * Reads one YAML document into a tree of nodes with positions.
 *
 * <p>
 * Not thread-safe: an instance reads one document on one thread. The static method is
 * thread-safe.
 */
final class YamlTreeReader {

	private static final YAMLFactory FACTORY = YAMLFactory.builder()
		.enable(YAMLParser.Feature.PARSE_BOOLEAN_LIKE_WORDS_AS_STRINGS)
		.build();

	private static final int MAX_DEPTH = 16;

	private static final int MAX_CHARACTERS = 1 << 20;

	private static final YamlNode.Position START_POSITION = new YamlNode.Position(1, 1);

	private final YAMLParser parser;

	private final FindingCollector findings;

	private YamlTreeReader(YAMLParser parser, FindingCollector findings) {
		this.parser = parser;
		this.findings = findings;
	}

	/**
	 * Reads a document.
	 * @param text the document as YAML
	 * @param findings receives the errors in the document
	 * @return the root node, or empty if the text is not a single YAML document
	 */
	static Optional<YamlNode> read(String text, FindingCollector findings) {
		if (text.length() > MAX_CHARACTERS) {
			findings.add("", START_POSITION, "the document is longer than %d characters".formatted(MAX_CHARACTERS));
			return Optional.empty();
		}
		try (YAMLParser parser = FACTORY.createParser(text)) {
			return new YamlTreeReader(parser, findings).readDocument();
		}
		catch (JsonProcessingException ex) {
			findings.add("", toPosition(ex.getLocation()), "not YAML: " + firstLine(ex.getOriginalMessage()));
		}
		catch (IOException | RuntimeException ex) {
			findings.add("", START_POSITION, "not YAML: " + firstLine(String.valueOf(ex.getMessage())));
		}
		return Optional.empty();
	}

	private Optional<YamlNode> readDocument() throws IOException {
		JsonToken token = this.parser.nextToken();
		if (token == null) {
			this.findings.add("", START_POSITION, "the document is empty");
			return Optional.empty();
		}
		YamlNode root = readNode(token, "", 0);
		if (this.parser.nextToken() != null) {
			this.findings.add("", currentPosition(), "only one document is allowed");
		}
		return Optional.of(root);
	}

	private YamlNode readNode(JsonToken token, String path, int depth) throws IOException {
		if (depth > MAX_DEPTH) {
			throw new IOException("nested deeper than %d levels".formatted(MAX_DEPTH));
		}
		if (this.parser.isCurrentAlias() || this.parser.getObjectId() != null) {
			this.findings.add(path, currentPosition(), "anchors and aliases are not allowed");
		}
		if (token == JsonToken.START_OBJECT) {
			return readMapping(path, depth);
		}
		if (token == JsonToken.START_ARRAY) {
			return readSequence(path, depth);
		}
		return new YamlNode.Scalar(currentPosition(), scalarKind(token), this.parser.getText());
	}

	private YamlNode readMapping(String path, int depth) throws IOException {
		YamlNode.Position start = currentPosition();
		Map<String, YamlNode.Field> fields = new LinkedHashMap<>();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			String name = this.parser.currentName();
			YamlNode.Position namePosition = currentPosition();
			String fieldPath = path.isEmpty() ? name : path + "." + name;
			YamlNode value = readNode(this.parser.nextToken(), fieldPath, depth + 1);
			if (fields.putIfAbsent(name, new YamlNode.Field(namePosition, value)) != null) {
				this.findings.add(fieldPath, namePosition, "the field stands twice");
			}
		}
		return new YamlNode.Mapping(start, fields);
	}

	private YamlNode readSequence(String path, int depth) throws IOException {
		YamlNode.Position start = currentPosition();
		List<YamlNode> items = new ArrayList<>();
		JsonToken token = this.parser.nextToken();
		while (token != JsonToken.END_ARRAY) {
			items.add(readNode(token, path + "[" + items.size() + "]", depth + 1));
			token = this.parser.nextToken();
		}
		return new YamlNode.Sequence(start, items);
	}

	private YamlNode.Position currentPosition() {
		return toPosition(this.parser.currentTokenLocation());
	}

	private static YamlNode.Position toPosition(JsonLocation location) {
		if (location == null) {
			return START_POSITION;
		}
		return new YamlNode.Position(Math.max(0, location.getLineNr()), Math.max(0, location.getColumnNr()));
	}

	private static YamlNode.ScalarKind scalarKind(JsonToken token) {
		return switch (token) {
			case VALUE_NUMBER_INT -> YamlNode.ScalarKind.INTEGER;
			case VALUE_TRUE, VALUE_FALSE -> YamlNode.ScalarKind.BOOLEAN;
			case VALUE_NULL -> YamlNode.ScalarKind.NULL;
			default -> YamlNode.ScalarKind.TEXT;
		};
	}

	private static String firstLine(String message) {
		return message.lines().findFirst().orElse("unreadable");
	}

}
