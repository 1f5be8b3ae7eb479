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
	 * @param before the older catalogue as YAML
	 * @param after the newer catalogue as YAML
	 * @return one line for each added item, each removed item and each changed field
	 * @throws CommandException if a catalogue is not valid YAML
	 */
	static List<String> compare(String before, String after) throws CommandException {
		Map<String, JsonNode> itemsBefore = readItems(before);
		Map<String, JsonNode> itemsAfter = readItems(after);
		TreeSet<String> names = new TreeSet<>(itemsBefore.keySet());
		names.addAll(itemsAfter.keySet());
		List<String> lines = new ArrayList<>();
		names.forEach((name) -> compareItems(name, Optional.ofNullable(itemsBefore.get(name)),
				Optional.ofNullable(itemsAfter.get(name)), lines));
		return lines;
	}

	private static Map<String, JsonNode> readItems(String yaml) throws CommandException {
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

	private static void compareItems(String name, Optional<JsonNode> beforeItem, Optional<JsonNode> afterItem,
			List<String> lines) {
		if (beforeItem.isEmpty()) {
			lines.add("+ " + name);
		}
		else if (afterItem.isEmpty()) {
			lines.add("- " + name);
		}
		else {
			beforeItem.get().fieldNames().forEachRemaining((field) -> {
				String oldValue = beforeItem.get().path(field).asText();
				String newValue = afterItem.get().path(field).asText();
				if (!field.equals(BASE) && !oldValue.equals(newValue)) {
					lines.add("~ %s: %s: %s -> %s".formatted(name, field, oldValue, newValue));
				}
			});
		}
	}

}
