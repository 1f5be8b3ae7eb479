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
 * A {@link CatalogueState} in the form in which a checkpoint stores it.
 *
 * @param nextOffset offset of the first record that is not in the state
 * @param revision offset of the newest accepted change
 * @param organisations the organisations
 * @param targets the targets
 * @param entries the entries
 * @param history the newest changes, oldest first
 */
record StoredState(long nextOffset, long revision, List<Versioned<Organisation>> organisations,
		List<Versioned<Target>> targets, List<Versioned<CatalogueEntry>> entries, List<HistoryRow> history) {

	static StoredState of(CatalogueState state) {
		return new StoredState(state.nextOffset(), state.revision(), sorted(state.organisations()),
				sorted(state.targets()), sorted(state.entries()), state.history());
	}

	private static <K, V> List<V> sorted(Map<K, V> items) {
		return List.copyOf(new TreeMap<>(items).values());
	}

	CatalogueState toState() {
		return new CatalogueState(this.nextOffset, this.revision,
				byName(this.organisations, (organisation) -> organisation.item().id()),
				byName(this.targets, (target) -> target.item().id()),
				byName(this.entries, (entry) -> entry.item().name()), this.history);
	}

	private static <K, V> Map<K, V> byName(List<V> items, Function<V, K> name) {
		return items.stream().collect(Collectors.toUnmodifiableMap(name, Function.identity()));
	}

}
