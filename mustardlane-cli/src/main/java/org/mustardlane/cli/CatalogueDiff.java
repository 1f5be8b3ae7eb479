package org.mustardlane.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

import org.mustardlane.core.catalogue.ItemKind;

/**
 * Compares two catalogues item by item.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class CatalogueDiff {

	private static final String BASE = "base";

	private CatalogueDiff() {
	}

	/**
	 * Compares two catalogues.
	 * @param before the older one, as YAML
	 * @param after the newer one, as YAML
	 * @return one line for each item that came or went and each field that changed
	 * @throws CommandException if a catalogue can not be read
	 */
	static List<String> between(String before, String after) throws CommandException {
		Map<String, JsonNode> old = items(before);
		Map<String, JsonNode> now = items(after);
		TreeSet<String> names = new TreeSet<>(old.keySet());
		names.addAll(now.keySet());
		List<String> lines = new ArrayList<>();
		names.forEach(
				(name) -> compare(name, Optional.ofNullable(old.get(name)), Optional.ofNullable(now.get(name)), lines));
		return lines;
	}

	private static Map<String, JsonNode> items(String yaml) throws CommandException {
		try {
			JsonNode root = new YAMLMapper().readTree(yaml);
			Map<String, JsonNode> items = new TreeMap<>();
			for (ItemKind kind : ItemKind.values()) {
				root.path(kind.section())
					.forEach((item) -> items.put(kind.label() + " " + item.path(kind.nameField()).asText(), item));
			}
			return items;
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.INTERNAL_ERROR, "the router sent a catalogue that is not YAML");
		}
	}

	private static void compare(String name, Optional<JsonNode> old, Optional<JsonNode> now, List<String> lines) {
		if (old.isEmpty()) {
			lines.add("+ " + name);
		}
		else if (now.isEmpty()) {
			lines.add("- " + name);
		}
		else {
			old.get().fieldNames().forEachRemaining((field) -> {
				String before = old.get().path(field).asText();
				String after = now.get().path(field).asText();
				if (!field.equals(BASE) && !before.equals(after)) {
					lines.add("~ %s: %s: %s -> %s".formatted(name, field, before, after));
				}
			});
		}
	}

}
