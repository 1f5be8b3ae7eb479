package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.PoolId;

/**
 * Rules for the references between the items of one catalogue.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class ReferenceRules {

	private ReferenceRules() {
	}

	/**
	 * Checks all references of a catalogue.
	 * @param state the catalogue
	 * @return the violations, sorted by item and field
	 */
	static List<Violation> check(CatalogueState state) {
		Map<PoolId, List<Target>> pools = state.targets()
			.values()
			.stream()
			.map(Versioned::item)
			.collect(Collectors.groupingBy(Target::pool));
		List<Violation> violations = new ArrayList<>();
		state.entries().values().forEach((entry) -> checkEntry(state, pools, entry.item(), violations));
		pools.forEach((pool, targets) -> checkPool(pool, targets, violations));
		violations.sort(Comparator.comparing((violation) -> violation.item() + "." + violation.field()));
		return violations;
	}

	private static void checkEntry(CatalogueState state, Map<PoolId, List<Target>> pools, CatalogueEntry entry,
			List<Violation> violations) {
		ItemKey key = new ItemKey(ItemKind.ENTRY, entry.name().value());
		if (!state.organisations().containsKey(entry.owner())) {
			violations.add(new Violation(key, "owner", "no organisation is named " + entry.owner(),
					new ItemKey(ItemKind.ORGANISATION, entry.owner().value())));
		}
		List<Target> targets = pools.getOrDefault(entry.pool(), List.of());
		if (targets.isEmpty()) {
			violations.add(new Violation(key, "pool", "no target belongs to pool " + entry.pool(), key));
		}
		if (entry.streaming() && targets.stream().anyMatch((target) -> target.kind() == TargetKind.SERVICE)) {
			violations.add(new Violation(key, "streaming",
					"pool %s holds plain services, which do not stream".formatted(entry.pool()), key));
		}
	}

	private static void checkPool(PoolId pool, List<Target> targets, List<Violation> violations) {
		if (targets.stream().map(Target::kind).distinct().count() == 1) {
			return;
		}
		Target firstTarget = Collections.min(targets, Comparator.comparing(Target::id));
		targets.stream().filter((target) -> target.kind() != firstTarget.kind()).forEach((target) -> {
			ItemKey key = new ItemKey(ItemKind.TARGET, target.id().value());
			violations.add(new Violation(key, "kind", "pool %s holds %s as %s; a pool is of one kind".formatted(pool,
					firstTarget.id(), firstTarget.kind()), new ItemKey(ItemKind.TARGET, firstTarget.id().value())));
		});
	}

	/**
	 * A violation of a reference rule.
	 *
	 * @param item key of the item with the invalid field
	 * @param field name of the invalid field
	 * @param message description of the error
	 * @param conflictingItem key of the other item involved, or of the item itself if no
	 * single other item is involved
	 */
	record Violation(ItemKey item, String field, String message, ItemKey conflictingItem) {

	}

}
