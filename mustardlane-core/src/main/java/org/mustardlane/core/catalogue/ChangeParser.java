package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.mustardlane.core.catalogue.YamlNode.Mapping;
import org.mustardlane.core.catalogue.YamlNode.Place;
import org.mustardlane.core.catalogue.YamlNode.Sequence;
import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Reads a catalogue change from YAML and collects all that is wrong in it.
 *
 * <p>
 * Used by one thread for one document.
 */
public final class ChangeParser {

	private static final String BASE = "base";

	private static final String REMOVE = "remove";

	private final FindingCollector findings = new FindingCollector();

	private final Map<ItemKey, ParsedChange.Origin> origins = new HashMap<>();

	private ChangeParser() {
	}

	/**
	 * Reads a change; its references to items outside the change are not looked at.
	 * @param yaml the change
	 * @return the change, or what is wrong in it
	 */
	public static ParsedChange parse(String yaml) {
		return new ChangeParser().parseDocument(yaml);
	}

	private ParsedChange parseDocument(String yaml) {
		Optional<CatalogueDelta> delta = YamlTreeReader.read(yaml, this.findings).flatMap(this::parseRoot);
		return new ParsedChange(this.findings.isEmpty() ? delta : Optional.empty(), this.origins,
				this.findings.inOrder());
	}

	private Optional<CatalogueDelta> parseRoot(YamlNode root) {
		if (!(root instanceof Mapping sections)) {
			this.findings.add("", root.place(), "must be a mapping with sections, not " + root.label());
			return Optional.empty();
		}
		rejectUnknownSections(sections);
		List<Versioned<Organisation>> organisations = section(sections, ItemKind.ORGANISATION, this::organisation);
		List<Versioned<Target>> targets = section(sections, ItemKind.TARGET, this::target);
		List<Versioned<CatalogueEntry>> entries = section(sections, ItemKind.ENTRY, this::entry);
		List<Versioned<ItemKey>> removals = removals(sections);
		if (this.origins.isEmpty() && this.findings.isEmpty()) {
			this.findings.add("", root.place(), "the change is empty");
		}
		return Optional.of(new CatalogueDelta(organisations, targets, entries, removals));
	}

	private void rejectUnknownSections(Mapping sections) {
		sections.fields().forEach((name, field) -> {
			if (!name.equals(REMOVE) && !isSection(name)) {
				this.findings.add(name, field.namePlace(), "unknown section");
			}
		});
	}

	private static boolean isSection(String name) {
		for (ItemKind kind : ItemKind.values()) {
			if (kind.section().equals(name)) {
				return true;
			}
		}
		return false;
	}

	private <T> List<Versioned<T>> section(Mapping parent, ItemKind kind, Function<FieldReader, T> reader) {
		return items(parent, kind.section(), kind.section(), (fields) -> read(fields, kind, reader));
	}

	private <T> List<T> items(Mapping parent, String name, String path, Function<FieldReader, Optional<T>> reader) {
		YamlNode.Field section = parent.fields().get(name);
		if (section == null) {
			return List.of();
		}
		if (!(section.value() instanceof Sequence sequence)) {
			this.findings.add(path, section.value().place(), "must be a list, not " + section.value().label());
			return List.of();
		}
		List<T> items = new ArrayList<>();
		for (int index = 0; index < sequence.items().size(); index++) {
			String itemPath = path + "[" + index + "]";
			mapping(sequence.items().get(index), itemPath).flatMap(reader).ifPresent(items::add);
		}
		return items;
	}

	private Optional<FieldReader> mapping(YamlNode node, String path) {
		if (node instanceof Mapping mapping) {
			return Optional.of(new FieldReader(path, mapping, this.findings));
		}
		this.findings.add(path, node.place(), "must be a mapping, not " + node.label());
		return Optional.empty();
	}

	private <T> Optional<Versioned<T>> read(FieldReader fields, ItemKind kind, Function<FieldReader, T> reader) {
		String name = fields.text(kind.nameField());
		long base = fields.revision(BASE);
		T item = reader.apply(fields);
		fields.rejectUnknownFields();
		if (fields.has(kind.nameField())) {
			remember(new ItemKey(kind, name), fields);
		}
		return fields.isClean() ? Optional.of(new Versioned<>(item, base)) : Optional.empty();
	}

	private void remember(ItemKey key, FieldReader fields) {
		ParsedChange.Origin earlier = this.origins.putIfAbsent(key, fields.origin());
		if (earlier != null) {
			Place place = earlier.placeOf(key.kind().nameField());
			fields.add(key.kind().nameField(),
					"%s stands twice in the change, first at line %d".formatted(key, place.line()));
		}
	}

	private Organisation organisation(FieldReader fields) {
		Organisation organisation = new Organisation(new OrganisationId(fields.text("id")), fields.text("keyDigest"),
				fields.integer("concurrencyLimit"), fields.integer("weight"));
		report(fields, ItemRules.check(organisation));
		return organisation;
	}

	private Target target(FieldReader fields) {
		Target target = new Target(new TargetId(fields.text("id")), new PoolId(fields.text("pool")),
				fields.constant("kind", TargetKind.class), new DomainId(fields.text("domain")), fields.text("host"),
				fields.integer("port"), fields.integer("slots"), fields.bool("checksFencing"));
		report(fields, ItemRules.check(target));
		return target;
	}

	private CatalogueEntry entry(FieldReader fields) {
		CatalogueEntry entry = new CatalogueEntry(new EntryName(fields.text("name")),
				new OrganisationId(fields.text("owner")), fields.constant("serviceClass", ServiceClass.class),
				new PoolId(fields.text("pool")), fields.bool("idempotent"), fields.bool("streaming"),
				fields.text("path"), fields.integer("bodyLimitBytes"), fields.integer("answerLimitMillis"),
				fields.integer("expectedWorkMillis"), fields.integer("loadBoundPercent"), 0);
		report(fields, ItemRules.check(entry));
		return entry;
	}

	private List<Versioned<ItemKey>> removals(Mapping sections) {
		YamlNode.Field remove = sections.fields().get(REMOVE);
		if (remove == null) {
			return List.of();
		}
		if (!(remove.value() instanceof Mapping kinds)) {
			this.findings.add(REMOVE, remove.value().place(), "must be a mapping, not " + remove.value().label());
			return List.of();
		}
		List<Versioned<ItemKey>> removals = new ArrayList<>();
		for (ItemKind kind : ItemKind.values()) {
			removals.addAll(items(kinds, kind.section(), REMOVE + "." + kind.section(),
					(fields) -> read(fields, kind, (reader) -> removal(reader, kind))));
		}
		kinds.fields().forEach((name, field) -> {
			if (!isSection(name)) {
				this.findings.add(REMOVE + "." + name, field.namePlace(), "unknown section");
			}
		});
		return removals;
	}

	private static ItemKey removal(FieldReader fields, ItemKind kind) {
		ItemKey key = new ItemKey(kind, fields.text(kind.nameField()));
		report(fields, ItemRules.check(key));
		if (!fields.has(BASE)) {
			fields.add(BASE, "is missing: a removal names the revision that it was made against");
		}
		return key;
	}

	private static void report(FieldReader fields, List<ItemRules.Violation> violations) {
		violations.forEach((violation) -> {
			if (fields.isReadable(violation.field())) {
				fields.add(violation.field(), violation.message());
			}
		});
	}

}
