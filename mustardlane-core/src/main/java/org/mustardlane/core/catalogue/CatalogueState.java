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
 * The catalogue after all records up to an offset, with what later verdicts depend on.
 *
 * <p>
 * Two processes that have folded the same records hold equal states.
 *
 * @param nextOffset offset of the first record that is not in this state
 * @param revision offset of the newest accepted change, 0 before the first
 * @param organisations the organisations by name, with the revision that last touched
 * each
 * @param targets the targets by name, likewise
 * @param entries the entries by name, likewise
 * @param history the newest changes, oldest first
 */
record CatalogueState(long nextOffset, long revision, Map<OrganisationId, Versioned<Organisation>> organisations,
		Map<TargetId, Versioned<Target>> targets, Map<EntryName, Versioned<CatalogueEntry>> entries,
		List<HistoryRow> history) {

	/**
	 * Most changes that are remembered: for the operators, and so that a change that was
	 * appended twice takes effect once.
	 */
	static final int HISTORY_LIMIT = 1_024;

	/**
	 * The state before the first record.
	 */
	static final CatalogueState EMPTY = new CatalogueState(1, 0, Map.of(), Map.of(), Map.of(), List.of());

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	CatalogueState {
		organisations = Map.copyOf(organisations);
		targets = Map.copyOf(targets);
		entries = Map.copyOf(entries);
		history = List.copyOf(history);
	}

	/**
	 * Folds a change in.
	 * @param offset offset of its record
	 * @param appendedAtMillis time of the append
	 * @param change the change
	 * @return the next state
	 */
	CatalogueState fold(long offset, long appendedAtMillis, PublishedChange change) {
		if (find(change.changeId()).isPresent()) {
			return skip(offset);
		}
		Optional<Long> winner = winnerOver(change.delta());
		CatalogueState next = winner.isPresent() ? this : with(change.delta(), offset);
		if (winner.isEmpty() && !ReferenceRules.check(next).isEmpty()) {
			winner = Optional.of(this.revision);
			next = this;
		}
		ChangeVerdict verdict = winner.isPresent() ? ChangeVerdict.LOST_RACE : ChangeVerdict.ACCEPTED;
		HistoryRow row = new HistoryRow(offset, change.changeId(), change.author(), appendedAtMillis, verdict,
				winner.orElse(0L), change.delta().summary(), change.contentHash());
		return new CatalogueState(offset + 1, next.revision, next.organisations, next.targets, next.entries,
				appended(row));
	}

	/**
	 * Passes over a record that holds no change.
	 * @param offset offset of the record
	 * @return the next state
	 */
	CatalogueState skip(long offset) {
		return new CatalogueState(offset + 1, this.revision, this.organisations, this.targets, this.entries,
				this.history);
	}

	/**
	 * Returns what became of a change, if it is among the newest ones.
	 * @param changeId the change
	 * @return its row of the history
	 */
	Optional<HistoryRow> find(String changeId) {
		return this.history.stream().filter((row) -> row.changeId().equals(changeId)).findFirst();
	}

	/**
	 * Returns the revision that a change has lost to: of the first item that was touched
	 * since the revision that the change names.
	 * @param delta the change
	 * @return the revision, or empty where no item was touched
	 */
	Optional<Long> winnerOver(CatalogueDelta delta) {
		return delta.baseRevisions()
			.entrySet()
			.stream()
			.filter((base) -> revisionOf(base.getKey()) != base.getValue())
			.map((base) -> winnerOf(base.getKey()))
			.findFirst();
	}

	private long winnerOf(ItemKey key) {
		long present = revisionOf(key);
		return (present > 0) ? present : this.revision;
	}

	/**
	 * Returns the revision that last touched an item.
	 * @param key the item
	 * @return the revision, 0 where the catalogue does not hold the item
	 */
	long revisionOf(ItemKey key) {
		return switch (key.kind()) {
			case ORGANISATION -> revisionIn(this.organisations, new OrganisationId(key.name()));
			case TARGET -> revisionIn(this.targets, new TargetId(key.name()));
			case ENTRY -> revisionIn(this.entries, new EntryName(key.name()));
		};
	}

	private static <K, V> long revisionIn(Map<K, Versioned<V>> items, K name) {
		Versioned<V> found = items.get(name);
		return (found != null) ? found.revision() : 0;
	}

	/**
	 * Puts a change into effect without a look at the revisions that it names.
	 * @param delta the change
	 * @param offset offset of the change
	 * @return the state with the change
	 */
	CatalogueState with(CatalogueDelta delta, long offset) {
		Map<OrganisationId, Versioned<Organisation>> newOrganisations = new HashMap<>(this.organisations);
		Map<TargetId, Versioned<Target>> newTargets = new HashMap<>(this.targets);
		Map<EntryName, Versioned<CatalogueEntry>> newEntries = new HashMap<>(this.entries);
		delta.removals().forEach((removal) -> {
			newOrganisations.keySet().removeIf((id) -> isKey(removal, ItemKind.ORGANISATION, id));
			newTargets.keySet().removeIf((id) -> isKey(removal, ItemKind.TARGET, id));
			newEntries.keySet().removeIf((id) -> isKey(removal, ItemKind.ENTRY, id));
		});
		delta.organisations().forEach((one) -> newOrganisations.put(one.item().id(), at(one.item(), offset)));
		delta.targets().forEach((one) -> newTargets.put(one.item().id(), at(one.item(), offset)));
		delta.entries()
			.forEach((one) -> newEntries.put(one.item().name(), at(withRevision(one.item(), offset), offset)));
		return new CatalogueState(this.nextOffset, offset, newOrganisations, newTargets, newEntries, this.history);
	}

	private static boolean isKey(Versioned<ItemKey> removal, ItemKind kind, Object id) {
		return removal.item().kind() == kind && removal.item().name().equals(id.toString());
	}

	private static <T> Versioned<T> at(T item, long revision) {
		return new Versioned<>(item, revision);
	}

	private static CatalogueEntry withRevision(CatalogueEntry entry, long revision) {
		return new CatalogueEntry(entry.name(), entry.owner(), entry.serviceClass(), entry.pool(), entry.idempotent(),
				entry.streaming(), entry.path(), entry.bodyLimitBytes(), entry.answerLimitMillis(),
				entry.expectedWorkMillis(), entry.loadBoundPercent(), revision);
	}

	private List<HistoryRow> appended(HistoryRow row) {
		List<HistoryRow> rows = new ArrayList<>(this.history);
		rows.add(row);
		return (rows.size() > HISTORY_LIMIT) ? rows.subList(rows.size() - HISTORY_LIMIT, rows.size()) : rows;
	}

	/**
	 * Returns what the other aggregates see of this state.
	 * @return the catalogue
	 */
	CatalogueSnapshot snapshot() {
		return new CatalogueSnapshot(this.revision, items(this.entries), items(this.organisations),
				items(this.targets));
	}

	private static <K, V> Map<K, V> items(Map<K, Versioned<V>> versioned) {
		return versioned.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (item) -> item.getValue().item()));
	}

}
