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
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.ShardId;

/**
 * Divides the concurrency limit of each organisation among the shards of a pool.
 *
 * <p>
 * Each shard gets a share in proportion to its slots. The shares add up to the limit, so
 * an organisation cannot exceed its limit in a pool while each shard has one owner.
 * Grants left over by rounding down go to the shards with the largest remainders; the
 * rendezvous order of the organisation breaks ties.
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
	 * Returns the largest number of grants that an organisation may hold in a shard.
	 * @param shard the shard
	 * @param organisation the organisation
	 * @return the share of the limit, which may be 0; {@link Integer#MAX_VALUE} if the
	 * catalogue contains no such organisation or shard
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
		List<ShardId> shardOrder = RendezvousHash.rank(RendezvousHash.hash(organisation.value()), slotsByShard.keySet())
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
