package org.mustardlane.core.catalogue;

import java.util.Map;
import java.util.TreeMap;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;

/**
 * Formats a catalogue as the YAML of a change that is based on the same catalogue, so
 * that an operator can edit and publish it.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class CatalogueYaml {

	private CatalogueYaml() {
	}

	/**
	 * Formats a state as YAML.
	 * @param state the state of the catalogue
	 * @return the YAML, with the items of each section sorted by name
	 */
	static String format(CatalogueState state) {
		StringBuilder yaml = new StringBuilder("# revision " + state.revision() + "\n");
		appendSection(yaml, ItemKind.ORGANISATION, state.organisations(), CatalogueYaml::appendOrganisation);
		appendSection(yaml, ItemKind.TARGET, state.targets(), CatalogueYaml::appendTarget);
		appendSection(yaml, ItemKind.ENTRY, state.entries(), CatalogueYaml::appendEntry);
		return yaml.toString();
	}

	private static <K, V> void appendSection(StringBuilder yaml, ItemKind kind, Map<K, Versioned<V>> items,
			ItemFormatter<V> formatter) {
		if (items.isEmpty()) {
			return;
		}
		yaml.append(kind.section()).append(":\n");
		new TreeMap<>(items).forEach((name, versioned) -> {
			yaml.append("  - ").append(kind.nameField()).append(": ").append(quote(name)).append('\n');
			appendField(yaml, "base", versioned.revision());
			formatter.append(yaml, versioned.item());
		});
	}

	private static void appendOrganisation(StringBuilder yaml, Organisation organisation) {
		appendField(yaml, "keyDigest", quote(organisation.keyDigest()));
		appendField(yaml, "concurrencyLimit", organisation.concurrencyLimit());
		appendField(yaml, "weight", organisation.weight());
	}

	private static void appendTarget(StringBuilder yaml, Target target) {
		appendField(yaml, "pool", quote(target.pool()));
		appendField(yaml, "kind", target.kind());
		appendField(yaml, "domain", quote(target.domain()));
		appendField(yaml, "host", quote(target.host()));
		appendField(yaml, "port", target.port());
		appendField(yaml, "slots", target.slots());
		appendField(yaml, "checksFencing", target.checksFencing());
	}

	private static void appendEntry(StringBuilder yaml, CatalogueEntry entry) {
		appendField(yaml, "owner", quote(entry.owner()));
		appendField(yaml, "serviceClass", entry.serviceClass());
		appendField(yaml, "pool", quote(entry.pool()));
		appendField(yaml, "idempotent", entry.idempotent());
		appendField(yaml, "streaming", entry.streaming());
		appendField(yaml, "path", quote(entry.path()));
		appendField(yaml, "bodyLimitBytes", entry.bodyLimitBytes());
		appendField(yaml, "answerLimitMillis", entry.answerLimitMillis());
		appendField(yaml, "expectedWorkMillis", entry.expectedWorkMillis());
		appendField(yaml, "loadBoundPercent", entry.loadBoundPercent());
	}

	private static void appendField(StringBuilder yaml, String name, Object value) {
		yaml.append("    ").append(name).append(": ").append(value).append('\n');
	}

	private static String quote(Object value) {
		return "'" + value.toString().replace("'", "''") + "'";
	}

	/**
	 * Appends the fields of an item to the YAML.
	 *
	 * @param <V> type of the item
	 */
	private interface ItemFormatter<V> {

		void append(StringBuilder yaml, V item);

	}

}
