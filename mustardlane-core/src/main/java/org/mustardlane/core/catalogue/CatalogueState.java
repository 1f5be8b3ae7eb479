package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.TargetId;

/**
 * The catalogue after all records up to an offset, with the revisions and the history
 * that the verdicts on later changes depend on.
 *
 * <p>
 * Immutable. Two processes that have applied the same records hold equal states.
 *
 * @param nextOffset offset of the first record that is not applied yet
 * @param revision offset of the newest accepted change, or 0 before the first one
 * @param organisations the organisations by id, each with the revision that last changed
 * it
 * @param targets the targets by id, each with the revision that last changed it
 * @param entries the entries by name, each with the revision that last changed it
 * @param history the newest changes, oldest first
 */
record CatalogueState(long nextOffset, long revision, Map<OrganisationId, Versioned<Organisation>> organisations,
		Map<TargetId, Versioned<Target>> targets, Map<EntryName, Versioned<CatalogueEntry>> entries,
		List<HistoryRow> history) {

	/**
	 * Maximum number of changes in the history. The history is shown to operators, and it
	 * ensures that a change that was appended twice takes effect once.
	 */
	static final int HISTORY_LIMIT = 1_024;

	/**
	 * The state before the first record.
	 */
	static final CatalogueState EMPTY = new CatalogueState(1, 0, Map.of(), Map.of(), Map.of(), List.of());

	/**
	 * Copies the collections to make the record immutable.
	 */
	CatalogueState {
		organisations = Map.copyOf(organisations);
		targets = Map.copyOf(targets);
		entries = Map.copyOf(entries);
		history = List.copyOf(history);
	}

	/**
	 * Applies a change and adds it to the history. A change that conflicts with an
	 * earlier one is only added to the history, and a change whose id is in the history
	 * is skipped.
	 * @param offset offset of the record that holds the change
	 * @param appendedAtMillis time of the append on the clock of the platform
	 * @param change the change
	 * @return the next state
	 */
	CatalogueState apply(long offset, long appendedAtMillis, PublishedChange change) {
		if (findChange(change.changeId()).isPresent()) {
			return skip(offset);
		}
		Optional<Long> conflictingRevision = findConflictingRevision(change.delta());
		CatalogueState nextState = conflictingRevision.isPresent() ? this : applyDelta(change.delta(), offset);
		if (conflictingRevision.isEmpty() && !ReferenceRules.check(nextState).isEmpty()) {
			conflictingRevision = Optional.of(this.revision);
			nextState = this;
		}
		ChangeVerdict verdict = conflictingRevision.isPresent() ? ChangeVerdict.LOST_RACE : ChangeVerdict.ACCEPTED;
		HistoryRow row = new HistoryRow(offset, change.changeId(), change.author(), appendedAtMillis, verdict,
				conflictingRevision.orElse(0L), change.delta().summary(), change.contentHash());
		return new CatalogueState(offset + 1, nextState.revision, nextState.organisations, nextState.targets,
				nextState.entries, historyWith(row));
	}

	/**
	 * Skips a record that holds no change.
	 * @param offset offset of the record
	 * @return the next state
	 */
	CatalogueState skip(long offset) {
		return new CatalogueState(offset + 1, this.revision, this.organisations, this.targets, this.entries,
				this.history);
	}

	/**
	 * Finds a change in the history.
	 * @param changeId id of the change
	 * @return the history row of the change, or empty if the change is not among the
	 * newest ones
	 */
	Optional<HistoryRow> findChange(String changeId) {
		return this.history.stream().filter((row) -> row.changeId().equals(changeId)).findFirst();
	}

	/**
	 * Returns the revision that a change conflicts with: an item of the change was
	 * changed after the base revision that the change carries for the item. With several
	 * conflicts the first item decides.
	 * @param delta the change
	 * @return the conflicting revision, or empty if there is no conflict
	 */
	Optional<Long> findConflictingRevision(CatalogueDelta delta) {
		return delta.baseRevisions()
			.entrySet()
			.stream()
			.filter((baseRevision) -> revisionOf(baseRevision.getKey()) != baseRevision.getValue())
			.map((baseRevision) -> conflictingRevision(baseRevision.getKey()))
			.findFirst();
	}

	private long conflictingRevision(ItemKey key) {
		long itemRevision = revisionOf(key);
		return (itemRevision > 0) ? itemRevision : this.revision;
	}

	/**
	 * Returns the revision that last changed an item.
	 * @param key key of the item
	 * @return the revision, or 0 if the catalogue does not hold the item
	 */
	long revisionOf(ItemKey key) {
		return switch (key.kind()) {
			case ORGANISATION -> revisionIn(this.organisations, new OrganisationId(key.name()));
			case TARGET -> revisionIn(this.targets, new TargetId(key.name()));
			case ENTRY -> revisionIn(this.entries, new EntryName(key.name()));
		};
	}

	private static <K, V> long revisionIn(Map<K, Versioned<V>> items, K name) {
		Versioned<V> item = items.get(name);
		return (item != null) ? item.revision() : 0;
	}

	/**
	 * Applies a change without comparing its base revisions.
	 * @param delta the change
	 * @param offset offset of the change, which becomes the revision of the catalogue
	 * @return the state after the change, with the same next offset and history
	 */
	CatalogueState applyDelta(CatalogueDelta delta, long offset) {
		Map<OrganisationId, Versioned<Organisation>> newOrganisations = new HashMap<>(this.organisations);
		Map<TargetId, Versioned<Target>> newTargets = new HashMap<>(this.targets);
		Map<EntryName, Versioned<CatalogueEntry>> newEntries = new HashMap<>(this.entries);
		delta.removals().forEach((removal) -> {
			newOrganisations.keySet().removeIf((id) -> hasKey(removal, ItemKind.ORGANISATION, id));
			newTargets.keySet().removeIf((id) -> hasKey(removal, ItemKind.TARGET, id));
			newEntries.keySet().removeIf((id) -> hasKey(removal, ItemKind.ENTRY, id));
		});
		delta.organisations()
			.forEach((upsert) -> newOrganisations.put(upsert.item().id(), versioned(upsert.item(), offset)));
		delta.targets().forEach((upsert) -> newTargets.put(upsert.item().id(), versioned(upsert.item(), offset)));
		delta.entries()
			.forEach((upsert) -> newEntries.put(upsert.item().name(),
					versioned(withRevision(upsert.item(), offset), offset)));
		return new CatalogueState(this.nextOffset, offset, newOrganisations, newTargets, newEntries, this.history);
	}

	private static boolean hasKey(Versioned<ItemKey> removal, ItemKind kind, Object id) {
		return removal.item().kind() == kind && removal.item().name().equals(id.toString());
	}

	private static <T> Versioned<T> versioned(T item, long revision) {
		return new Versioned<>(item, revision);
	}

	private static CatalogueEntry withRevision(CatalogueEntry entry, long revision) {
		return new CatalogueEntry(entry.name(), entry.owner(), entry.serviceClass(), entry.pool(), entry.idempotent(),
				entry.streaming(), entry.path(), entry.bodyLimitBytes(), entry.answerLimitMillis(),
				entry.expectedWorkMillis(), entry.loadBoundPercent(), revision);
	}

	private List<HistoryRow> historyWith(HistoryRow row) {
		List<HistoryRow> rows = new ArrayList<>(this.history);
		rows.add(row);
		return (rows.size() > HISTORY_LIMIT) ? rows.subList(rows.size() - HISTORY_LIMIT, rows.size()) : rows;
	}

	/**
	 * Returns the catalogue as other components use it: without the history and the
	 * revisions of single items.
	 * @return the snapshot
	 */
	CatalogueSnapshot snapshot() {
		return new CatalogueSnapshot(this.revision, withoutRevisions(this.entries),
				withoutRevisions(this.organisations), withoutRevisions(this.targets));
	}

	private static <K, V> Map<K, V> withoutRevisions(Map<K, Versioned<V>> items) {
		return items.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (item) -> item.getValue().item()));
	}

}
