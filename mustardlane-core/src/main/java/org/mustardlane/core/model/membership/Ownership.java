package org.mustardlane.core.model.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;

/**
 * Maps shards and claim partitions to their owners, based on the live routers that one
 * router sees.
 *
 * <p>
 * Two routers may temporarily see different owners. Ownership only reduces the number of
 * messages; no safety property depends on it. Immutable and thread-safe.
 *
 * @param self the VM of this router
 * @param selfDomain the failure domain of this router
 * @param routers the routers that are alive and not draining, with their failure domains
 */
public record Ownership(VmId self, DomainId selfDomain, Map<VmId, DomainId> routers) {

	/**
	 * Number of claim partitions.
	 */
	public static final int CLAIM_PARTITIONS = 16;

	private static final String PARTITION_PREFIX = "claims-";

	/**
	 * Copies the map, so that the record is immutable.
	 */
	public Ownership {
		routers = Map.copyOf(routers);
	}

	/**
	 * Returns the owner of a shard: a router of its failure domain, or any router if none
	 * in the domain is alive.
	 * @param shard the shard
	 * @return the owner, or empty if no router is alive
	 */
	public Optional<VmId> shardOwner(ShardId shard) {
		long key = RendezvousHash.hash(shard.toString());
		List<VmId> domainRouters = routersInDomain(shard.domain());
		return RendezvousHash.highestRanked(key, domainRouters.isEmpty() ? this.routers.keySet() : domainRouters);
	}

	/**
	 * Returns the owner of a claim partition.
	 * @param partition number of the partition, starting at 0
	 * @return the owner, or empty if no router is alive
	 */
	public Optional<VmId> claimPartitionOwner(int partition) {
		return RendezvousHash.highestRanked(RendezvousHash.hash(PARTITION_PREFIX + partition), this.routers.keySet());
	}

	/**
	 * Returns the partition of a claim key.
	 * @param claimKey digest of organisation, entry and idempotency key
	 * @return number of the partition, starting at 0
	 */
	public static int claimPartitionOf(String claimKey) {
		return (int) Long.remainderUnsigned(RendezvousHash.hash(claimKey), CLAIM_PARTITIONS);
	}

	/**
	 * Returns the live routers of a failure domain.
	 * @param domain the failure domain
	 * @return the routers, sorted by identifier
	 */
	public List<VmId> routersInDomain(DomainId domain) {
		return this.routers.entrySet()
			.stream()
			.filter((router) -> router.getValue().equals(domain))
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

}
