package org.mustardlane.core.model.common;

/**
 * Identifies a shard: a part of a pool whose capacity is owned by one router.
 *
 * @param pool the pool
 * @param domain the failure domain of the targets
 * @param index number of the shard within the pool and domain, starting at 0
 */
public record ShardId(PoolId pool, DomainId domain, int index) implements Comparable<ShardId> {

	@Override
	public int compareTo(ShardId other) {
		return toString().compareTo(other.toString());
	}

	@Override
	public String toString() {
		return this.pool + "/" + this.domain + "/" + this.index;
	}

}
