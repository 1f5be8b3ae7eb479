package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.mustardlane.core.catalogue.YamlNode.Mapping;
import org.mustardlane.core.catalogue.YamlNode.Position;
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
 * Parses a catalogue change from YAML and collects findings for all errors in the
 * document.
 *
 * <p>
 * Not thread-safe: an instance parses one document on one thread. The static method is
 * thread-safe.
 */
public final class ChangeParser {

	private static final String BASE = "base";

	private static final String REMOVE = "remove";

	private final FindingCollector findings = new FindingCollector();

	private final Map<ItemKey, ParsedChange.Origin> origins = new HashMap<>();

	private ChangeParser() {
	}

	/**
	 * Parses a change. References to items outside the change are not checked.
	 * @param yaml the change as YAML
	 * @return the change, or the findings if the YAML is not a valid change
	 */
	public static ParsedChange parse(String yaml) {
		return new ChangeParser().parseDocument(yaml);
	}

	private ParsedChange parseDocument(String yaml) {
		Optional<CatalogueDelta> delta = YamlTreeReader.read(yaml, this.findings).flatMap(this::parseRoot);
		return new ParsedChange(this.findings.isEmpty() ? delta : Optional.empty(), this.origins,
				this.findings.sortedByPosition());
	}

	private Optional<CatalogueDelta> parseRoot(YamlNode root) {
		if (!(root instanceof Mapping sections)) {
			this.findings.add("", root.position(), "must be a mapping with sections, not " + root.label());
			return Optional.empty();
		}
		rejectUnknownSections(sections);
		List<Versioned<Organisation>> organisations = readSection(sections, ItemKind.ORGANISATION,
				this::readOrganisation);
		List<Versioned<Target>> targets = readSection(sections, ItemKind.TARGET, this::readTarget);
		List<Versioned<CatalogueEntry>> entries = readSection(sections, ItemKind.ENTRY, this::readEntry);
		List<Versioned<ItemKey>> removals = readRemovals(sections);
		if (this.origins.isEmpty() && this.findings.isEmpty()) {
			this.findings.add("", root.position(), "the change is empty");
		}
		return Optional.of(new CatalogueDelta(organisations, targets, entries, removals));
	}

	private void rejectUnknownSections(Mapping sections) {
		sections.fields().forEach((name, field) -> {
			if (!name.equals(REMOVE) && !isSection(name)) {
				this.findings.add(name, field.namePosition(), "unknown section");
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

	private <T> List<Versioned<T>> readSection(Mapping parent, ItemKind kind, Function<FieldReader, T> reader) {
		return readItems(parent, kind.section(), kind.section(), (fields) -> readItem(fields, kind, reader));
	}

	private <T> List<T> readItems(Mapping parent, String name, String path, Function<FieldReader, Optional<T>> reader) {
		YamlNode.Field section = parent.fields().get(name);
		if (section == null) {
			return List.of();
		}
		if (!(section.value() instanceof Sequence sequence)) {
			this.findings.add(path, section.value().position(), "must be a list, not " + section.value().label());
			return List.of();
		}
		List<T> items = new ArrayList<>();
		for (int index = 0; index < sequence.items().size(); index++) {
			String itemPath = path + "[" + index + "]";
			toFieldReader(sequence.items().get(index), itemPath).flatMap(reader).ifPresent(items::add);
		}
		return items;
	}

	private Optional<FieldReader> toFieldReader(YamlNode node, String path) {
		if (node instanceof Mapping mapping) {
			return Optional.of(new FieldReader(path, mapping, this.findings));
		}
		this.findings.add(path, node.position(), "must be a mapping, not " + node.label());
		return Optional.empty();
	}

	private <T> Optional<Versioned<T>> readItem(FieldReader fields, ItemKind kind, Function<FieldReader, T> reader) {
		String name = fields.readText(kind.nameField());
		long baseRevision = fields.readRevision(BASE);
		T item = reader.apply(fields);
		fields.rejectUnknownFields();
		if (fields.hasField(kind.nameField())) {
			addOrigin(new ItemKey(kind, name), fields);
		}
		return fields.isValid() ? Optional.of(new Versioned<>(item, baseRevision)) : Optional.empty();
	}

	private void addOrigin(ItemKey key, FieldReader fields) {
		ParsedChange.Origin firstOrigin = this.origins.putIfAbsent(key, fields.origin());
		if (firstOrigin != null) {
			Position position = firstOrigin.positionOf(key.kind().nameField());
			fields.addFinding(key.kind().nameField(),
					"%s stands twice in the change, first at line %d".formatted(key, position.line()));
		}
	}

	private Organisation readOrganisation(FieldReader fields) {
		Organisation organisation = new Organisation(new OrganisationId(fields.readText("id")),
				fields.readText("keyDigest"), fields.readInteger("concurrencyLimit"), fields.readInteger("weight"));
		addFindings(fields, ItemRules.check(organisation));
		return organisation;
	}

	private Target readTarget(FieldReader fields) {
		Target target = new Target(new TargetId(fields.readText("id")), new PoolId(fields.readText("pool")),
				fields.readEnum("kind", TargetKind.class), new DomainId(fields.readText("domain")),
				fields.readText("host"), fields.readInteger("port"), fields.readInteger("slots"),
				fields.readBoolean("checksFencing"));
		addFindings(fields, ItemRules.check(target));
		return target;
	}

	private CatalogueEntry readEntry(FieldReader fields) {
		CatalogueEntry entry = new CatalogueEntry(new EntryName(fields.readText("name")),
				new OrganisationId(fields.readText("owner")), fields.readEnum("serviceClass", ServiceClass.class),
				new PoolId(fields.readText("pool")), fields.readBoolean("idempotent"), fields.readBoolean("streaming"),
				fields.readText("path"), fields.readInteger("bodyLimitBytes"), fields.readInteger("answerLimitMillis"),
				fields.readInteger("expectedWorkMillis"), fields.readInteger("loadBoundPercent"), 0);
		addFindings(fields, ItemRules.check(entry));
		return entry;
	}

	private List<Versioned<ItemKey>> readRemovals(Mapping sections) {
		YamlNode.Field removeSection = sections.fields().get(REMOVE);
		if (removeSection == null) {
			return List.of();
		}
		if (!(removeSection.value() instanceof Mapping removalSections)) {
			this.findings.add(REMOVE, removeSection.value().position(),
					"must be a mapping, not " + removeSection.value().label());
			return List.of();
		}
		List<Versioned<ItemKey>> removals = new ArrayList<>();
		for (ItemKind kind : ItemKind.values()) {
			removals.addAll(readItems(removalSections, kind.section(), REMOVE + "." + kind.section(),
					(fields) -> readItem(fields, kind, (reader) -> readRemoval(reader, kind))));
		}
		removalSections.fields().forEach((name, field) -> {
			if (!isSection(name)) {
				this.findings.add(REMOVE + "." + name, field.namePosition(), "unknown section");
			}
		});
		return removals;
	}

	private static ItemKey readRemoval(FieldReader fields, ItemKind kind) {
		ItemKey key = new ItemKey(kind, fields.readText(kind.nameField()));
		addFindings(fields, ItemRules.check(key));
		if (!fields.hasField(BASE)) {
			fields.addFinding(BASE, "is missing: a removal names the revision that it was made against");
		}
		return key;
	}

	private static void addFindings(FieldReader fields, List<ItemRules.Violation> violations) {
		violations.forEach((violation) -> {
			if (fields.isValid(violation.field())) {
				fields.addFinding(violation.field(), violation.message());
			}
		});
	}

}
