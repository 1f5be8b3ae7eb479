package org.mustardlane.core.catalogue;

import java.util.Map;
import java.util.TreeMap;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;

/**
 * Writes a catalogue as YAML in the form of a change against itself, so that an operator
 * can edit the text and publish it.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class CatalogueYaml {

	private CatalogueYaml() {
	}

	/**
	 * Writes a state.
	 * @param state the state
	 * @return the YAML, with items in the order of their names
	 */
	static String write(CatalogueState state) {
		StringBuilder yaml = new StringBuilder("# revision " + state.revision() + "\n");
		section(yaml, ItemKind.ORGANISATION, state.organisations(), CatalogueYaml::organisation);
		section(yaml, ItemKind.TARGET, state.targets(), CatalogueYaml::target);
		section(yaml, ItemKind.ENTRY, state.entries(), CatalogueYaml::entry);
		return yaml.toString();
	}

	private static <K, V> void section(StringBuilder yaml, ItemKind kind, Map<K, Versioned<V>> items,
			ItemWriter<V> writer) {
		if (items.isEmpty()) {
			return;
		}
		yaml.append(kind.section()).append(":\n");
		new TreeMap<>(items).forEach((name, versioned) -> {
			yaml.append("  - ").append(kind.nameField()).append(": ").append(quoted(name)).append('\n');
			field(yaml, "base", versioned.revision());
			writer.write(yaml, versioned.item());
		});
	}

	private static void organisation(StringBuilder yaml, Organisation organisation) {
		field(yaml, "keyDigest", quoted(organisation.keyDigest()));
		field(yaml, "concurrencyLimit", organisation.concurrencyLimit());
		field(yaml, "weight", organisation.weight());
	}

	private static void target(StringBuilder yaml, Target target) {
		field(yaml, "pool", quoted(target.pool()));
		field(yaml, "kind", target.kind());
		field(yaml, "domain", quoted(target.domain()));
		field(yaml, "host", quoted(target.host()));
		field(yaml, "port", target.port());
		field(yaml, "slots", target.slots());
		field(yaml, "checksFencing", target.checksFencing());
	}

	private static void entry(StringBuilder yaml, CatalogueEntry entry) {
		field(yaml, "owner", quoted(entry.owner()));
		field(yaml, "serviceClass", entry.serviceClass());
		field(yaml, "pool", quoted(entry.pool()));
		field(yaml, "idempotent", entry.idempotent());
		field(yaml, "streaming", entry.streaming());
		field(yaml, "path", quoted(entry.path()));
		field(yaml, "bodyLimitBytes", entry.bodyLimitBytes());
		field(yaml, "answerLimitMillis", entry.answerLimitMillis());
		field(yaml, "expectedWorkMillis", entry.expectedWorkMillis());
		field(yaml, "loadBoundPercent", entry.loadBoundPercent());
	}

	private static void field(StringBuilder yaml, String name, Object value) {
		yaml.append("    ").append(name).append(": ").append(value).append('\n');
	}

	private static String quoted(Object value) {
		return "'" + value.toString().replace("'", "''") + "'";
	}

	/**
	 * Writes the fields of an item.
	 *
	 * @param <V> kind of the item
	 */
	private interface ItemWriter<V> {

		void write(StringBuilder yaml, V item);

	}

}
