package org.mustardlane.core.model.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;

/**
 * Which live router owns a shard or a partition, as one router sees it.
 *
 * <p>
 * Two routers may see different owners for a while. Ownership only saves messages; no
 * safety property rests on it. Immutable and thread-safe.
 *
 * @param self this router
 * @param selfDomain the failure domain of this router
 * @param routers the routers that live and are not draining, with their failure domains
 */
public record Ownership(VmId self, DomainId selfDomain, Map<VmId, DomainId> routers) {

	/**
	 * Number of partitions of the claims.
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
	 * Returns the owner of a shard: a router of its failure domain, or where none lives,
	 * any router.
	 * @param shard the shard
	 * @return the owner, or empty where no router lives
	 */
	public Optional<VmId> shardOwner(ShardId shard) {
		long key = Rendezvous.hash(shard.toString());
		List<VmId> domainRouters = inDomain(shard.domain());
		return Rendezvous.first(key, domainRouters.isEmpty() ? this.routers.keySet() : domainRouters);
	}

	/**
	 * Returns the owner of a partition of the claims.
	 * @param partition number of the partition, from 0
	 * @return the owner, or empty where no router lives
	 */
	public Optional<VmId> partitionOwner(int partition) {
		return Rendezvous.first(Rendezvous.hash(PARTITION_PREFIX + partition), this.routers.keySet());
	}

	/**
	 * Returns the partition of a claim.
	 * @param claimKey the digested key
	 * @return number of the partition, from 0
	 */
	public static int partitionOf(String claimKey) {
		return (int) Long.remainderUnsigned(Rendezvous.hash(claimKey), CLAIM_PARTITIONS);
	}

	/**
	 * Returns the live routers of a failure domain.
	 * @param domain the failure domain
	 * @return the routers, in the order of their names
	 */
	public List<VmId> inDomain(DomainId domain) {
		return this.routers.entrySet()
			.stream()
			.filter((router) -> router.getValue().equals(domain))
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

}
