package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;

/**
 * The items that a change adds, replaces or removes. Each item carries the revision that
 * the author based the change on.
 *
 * @param organisations organisations to add or replace
 * @param targets targets to add or replace
 * @param entries entries to add or replace
 * @param removals keys of the items to remove
 */
public record CatalogueDelta(List<Versioned<Organisation>> organisations, List<Versioned<Target>> targets,
		List<Versioned<CatalogueEntry>> entries, List<Versioned<ItemKey>> removals) {

	/**
	 * Copies the collections to make the record immutable.
	 */
	public CatalogueDelta {
		organisations = List.copyOf(organisations);
		targets = List.copyOf(targets);
		entries = List.copyOf(entries);
		removals = List.copyOf(removals);
	}

	/**
	 * Returns the base revision of each item that this change adds, replaces or removes.
	 * @return the base revisions by item key: organisations, targets and entries first,
	 * then removals
	 */
	public Map<ItemKey, Long> baseRevisions() {
		Map<ItemKey, Long> baseRevisions = new LinkedHashMap<>();
		upserts().forEach((upsert) -> baseRevisions.put(upsert.item(), upsert.revision()));
		this.removals.forEach((removal) -> baseRevisions.put(removal.item(), removal.revision()));
		return baseRevisions;
	}

	private List<Versioned<ItemKey>> upserts() {
		List<Versioned<ItemKey>> upserts = new ArrayList<>();
		this.organisations.forEach((versioned) -> upserts.add(new Versioned<>(
				new ItemKey(ItemKind.ORGANISATION, versioned.item().id().value()), versioned.revision())));
		this.targets.forEach((versioned) -> upserts
			.add(new Versioned<>(new ItemKey(ItemKind.TARGET, versioned.item().id().value()), versioned.revision())));
		this.entries.forEach((versioned) -> upserts
			.add(new Versioned<>(new ItemKey(ItemKind.ENTRY, versioned.item().name().value()), versioned.revision())));
		return upserts;
	}

	/**
	 * Summarises the change in one line.
	 * @return the number of items set, the number removed, and the key of the first item
	 */
	public String summary() {
		List<Versioned<ItemKey>> upserts = upserts();
		String firstItem = baseRevisions().keySet().stream().findFirst().map(ItemKey::toString).orElse("nothing");
		return "%d set, %d removed; first: %s".formatted(upserts.size(), this.removals.size(), firstItem);
	}

}
