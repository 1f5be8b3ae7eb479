package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;

/**
 * The serialised form of a {@link CatalogueState} in a checkpoint.
 *
 * @param nextOffset offset of the first record that is not applied yet
 * @param revision offset of the newest accepted change
 * @param organisations the organisations, sorted by id
 * @param targets the targets, sorted by id
 * @param entries the entries, sorted by name
 * @param history the newest changes, oldest first
 */
record StoredState(long nextOffset, long revision, List<Versioned<Organisation>> organisations,
		List<Versioned<Target>> targets, List<Versioned<CatalogueEntry>> entries, List<HistoryRow> history) {

	static StoredState of(CatalogueState state) {
		return new StoredState(state.nextOffset(), state.revision(), sortedByKey(state.organisations()),
				sortedByKey(state.targets()), sortedByKey(state.entries()), state.history());
	}

	private static <K, V> List<V> sortedByKey(Map<K, V> items) {
		return List.copyOf(new TreeMap<>(items).values());
	}

	CatalogueState toState() {
		return new CatalogueState(this.nextOffset, this.revision,
				indexByKey(this.organisations, (organisation) -> organisation.item().id()),
				indexByKey(this.targets, (target) -> target.item().id()),
				indexByKey(this.entries, (entry) -> entry.item().name()), this.history);
	}

	private static <K, V> Map<K, V> indexByKey(List<V> items, Function<V, K> keyOf) {
		return items.stream().collect(Collectors.toUnmodifiableMap(keyOf, Function.identity()));
	}

}
