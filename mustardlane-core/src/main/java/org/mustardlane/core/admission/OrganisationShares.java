package org.mustardlane.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.common.ShardId;

/**
 * Splits the concurrency limit of each organisation over the shards of a pool.
 *
 * <p>
 * The parts follow the slots of the shards and add up to the limit, so that no
 * organisation passes its limit in a pool while each shard has one owner. What division
 * leaves over goes to shards in the rendezvous order of the organisation.
 */
final class OrganisationShares {

	private final CatalogueSnapshot catalogue;

	private final Map<PoolId, Map<ShardId, Integer>> slotsByPool = new HashMap<>();

	private final Map<ShardId, Map<OrganisationId, Integer>> limits = new HashMap<>();

	OrganisationShares(CatalogueSnapshot catalogue) {
		this.catalogue = catalogue;
		catalogue.shards()
			.forEach((shard, targets) -> this.slotsByPool.computeIfAbsent(shard.pool(), (pool) -> new HashMap<>())
				.put(shard, targets.stream().mapToInt(Target::slots).sum()));
	}

	/**
	 * Returns the most grants that an organisation may hold in a shard.
	 * @param shard the shard
	 * @param organisation the organisation
	 * @return the part of its limit, which may be 0; no limit for an organisation that
	 * the catalogue does not hold
	 */
	int limit(ShardId shard, OrganisationId organisation) {
		return this.limits.computeIfAbsent(shard, (key) -> new HashMap<>())
			.computeIfAbsent(organisation, (key) -> computeLimit(shard, key));
	}

	private int computeLimit(ShardId shard, OrganisationId organisation) {
		Organisation definition = this.catalogue.organisations().get(organisation);
		Map<ShardId, Integer> slotsByShard = this.slotsByPool.getOrDefault(shard.pool(), Map.of());
		if (definition == null || !slotsByShard.containsKey(shard)) {
			return Integer.MAX_VALUE;
		}
		long totalSlots = Math.max(1, slotsByShard.values().stream().mapToInt(Integer::intValue).sum());
		Comparator<ShardId> byRemainderDescending = Comparator
			.comparingLong((ShardId poolShard) -> -(definition.concurrencyLimit() * (long) slotsByShard.get(poolShard)
					% totalSlots));
		List<ShardId> shardOrder = Rendezvous.rank(Rendezvous.hash(organisation.value()), slotsByShard.keySet())
			.stream()
			.sorted(byRemainderDescending)
			.toList();
		long flooredSum = slotsByShard.values()
			.stream()
			.mapToLong((slots) -> definition.concurrencyLimit() * (long) slots / totalSlots)
			.sum();
		int extraGrants = (shardOrder.indexOf(shard) < definition.concurrencyLimit() - flooredSum) ? 1 : 0;
		return (int) (definition.concurrencyLimit() * (long) slotsByShard.get(shard) / totalSlots) + extraGrants;
	}

	int weight(OrganisationId organisation) {
		Organisation definition = this.catalogue.organisations().get(organisation);
		return (definition != null) ? definition.weight() : 1;
	}

}
