package org.mustardlane.core.chat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.common.ShardId;

/**
 * Orders the shards of a pool for a chat by rendezvous hashing over all targets.
 *
 * <p>
 * The first shard holds the best target of the chat in the whole fleet, the second one
 * the best target outside of the first, and so on. The order follows from the names of
 * the targets alone, so every router computes it alike, and a target that comes or goes
 * moves few chats. Immutable and thread-safe; build one for each catalogue revision.
 */
public final class ShardRoute {

	private final Map<PoolId, List<ShardHashes>> pools = new HashMap<>();

	/**
	 * Prepares the routes of a catalogue.
	 * @param catalogue the catalogue
	 */
	public ShardRoute(CatalogueSnapshot catalogue) {
		catalogue.shards()
			.forEach((shard, targets) -> this.pools.computeIfAbsent(shard.pool(), (pool) -> new ArrayList<>())
				.add(new ShardHashes(shard, hashes(targets))));
	}

	private static long[] hashes(List<Target> targets) {
		return targets.stream().mapToLong((target) -> Rendezvous.hash(target.id().value())).toArray();
	}

	/**
	 * Returns the shards of a pool in the order of a chat.
	 * @param catalogue the catalogue
	 * @param pool the pool
	 * @param chatHash hash of the chat
	 * @return the shards, home first; empty where the pool has no target
	 */
	public static List<ShardId> route(CatalogueSnapshot catalogue, PoolId pool, long chatHash) {
		return new ShardRoute(catalogue).route(pool, chatHash);
	}

	/**
	 * Returns the shards of a pool in the order of a chat.
	 * @param pool the pool
	 * @param chatHash hash of the chat
	 * @return the shards, home first; empty where the pool has no target
	 */
	public List<ShardId> route(PoolId pool, long chatHash) {
		Comparator<ScoredShard> best = (one, other) -> Long.compareUnsigned(other.score(), one.score());
		return this.pools.getOrDefault(pool, List.of())
			.stream()
			.map((shard) -> new ScoredShard(shard.shard(), shard.bestScore(chatHash)))
			.sorted(best.thenComparing(ScoredShard::shard))
			.map(ScoredShard::shard)
			.toList();
	}

	/**
	 * Tells whether a shard is the first in the order of a chat.
	 * @param shard the shard
	 * @param chatHash hash of the chat
	 * @return true if the best target of the chat is in the shard
	 */
	public boolean isHome(ShardId shard, long chatHash) {
		List<ShardHashes> pool = this.pools.getOrDefault(shard.pool(), List.of());
		long own = 0;
		for (ShardHashes part : pool) {
			own = part.shard().equals(shard) ? part.bestScore(chatHash) : own;
		}
		for (ShardHashes part : pool) {
			if (Long.compareUnsigned(part.bestScore(chatHash), own) > 0) {
				return false;
			}
		}
		return true;
	}

	private record ScoredShard(ShardId shard, long score) {

	}

	private record ShardHashes(ShardId shard, long[] targetHashes) {

		long bestScore(long chatHash) {
			long best = 0;
			for (long targetHash : this.targetHashes) {
				long score = Rendezvous.score(chatHash, targetHash);
				best = (Long.compareUnsigned(score, best) > 0) ? score : best;
			}
			return best;
		}

	}

}
