package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;

/**
 * What a change puts into the catalogue and takes out of it; each item carries the
 * revision that the change was made against.
 *
 * @param organisations organisations that are new or replaced
 * @param targets targets that are new or replaced
 * @param entries entries that are new or replaced
 * @param removals items that go
 */
public record CatalogueDelta(List<Versioned<Organisation>> organisations, List<Versioned<Target>> targets,
		List<Versioned<CatalogueEntry>> entries, List<Versioned<ItemKey>> removals) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public CatalogueDelta {
		organisations = List.copyOf(organisations);
		targets = List.copyOf(targets);
		entries = List.copyOf(entries);
		removals = List.copyOf(removals);
	}

	/**
	 * Returns the revision that the change was made against for each item that it
	 * touches.
	 * @return the revisions by item, in the order of the change
	 */
	public Map<ItemKey, Long> baseRevisions() {
		Map<ItemKey, Long> bases = new LinkedHashMap<>();
		upserts().forEach((upsert) -> bases.put(upsert.item(), upsert.revision()));
		this.removals.forEach((removal) -> bases.put(removal.item(), removal.revision()));
		return bases;
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
	 * Describes the change in a few words.
	 * @return the numbers of items that are set and removed, and the first item
	 */
	public String summary() {
		List<Versioned<ItemKey>> upserts = upserts();
		String first = baseRevisions().keySet().stream().findFirst().map(ItemKey::toString).orElse("nothing");
		return "%d set, %d removed; first: %s".formatted(upserts.size(), this.removals.size(), first);
	}

}
