package org.mustardlane.core.chat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.ShardId;

/**
 * Ranks the shards of a pool for a chat by rendezvous hashing over all targets.
 *
 * <p>
 * The first shard contains the target with the highest score for the chat in the whole
 * pool, the second one the best target outside the first shard, and so on. The order
 * depends only on the names of the targets. Every router therefore computes the same
 * order, and adding or removing a target moves few chats. Immutable and thread-safe;
 * create a new instance for each catalogue revision.
 */
public final class ShardRanking {

	private final Map<PoolId, List<ShardTargetHashes>> shardsByPool = new HashMap<>();

	/**
	 * Creates the ranking for the shards of a catalogue.
	 * @param catalogue the catalogue
	 */
	public ShardRanking(CatalogueSnapshot catalogue) {
		catalogue.shards()
			.forEach((shard, targets) -> this.shardsByPool.computeIfAbsent(shard.pool(), (pool) -> new ArrayList<>())
				.add(new ShardTargetHashes(shard, hashNames(targets))));
	}

	private static long[] hashNames(List<Target> targets) {
		return targets.stream().mapToLong((target) -> RendezvousHash.hash(target.id().value())).toArray();
	}

	/**
	 * Ranks the shards of a pool for a chat.
	 * @param catalogue the catalogue
	 * @param pool the pool
	 * @param chatHash hash of the chat
	 * @return the shards, home shard first; empty if the pool has no target
	 */
	public static List<ShardId> rankShards(CatalogueSnapshot catalogue, PoolId pool, long chatHash) {
		return new ShardRanking(catalogue).rankShards(pool, chatHash);
	}

	/**
	 * Ranks the shards of a pool for a chat.
	 * @param pool the pool
	 * @param chatHash hash of the chat
	 * @return the shards, home shard first; empty if the pool has no target
	 */
	public List<ShardId> rankShards(PoolId pool, long chatHash) {
		Comparator<ScoredShard> highestScoreFirst = (left, right) -> Long.compareUnsigned(right.score(), left.score());
		return this.shardsByPool.getOrDefault(pool, List.of())
			.stream()
			.map((candidate) -> new ScoredShard(candidate.shard(), candidate.bestScore(chatHash)))
			.sorted(highestScoreFirst.thenComparing(ScoredShard::shard))
			.map(ScoredShard::shard)
			.toList();
	}

	/**
	 * Returns whether a shard is the home shard of a chat, the first in its ranking.
	 * @param shard the shard
	 * @param chatHash hash of the chat
	 * @return true if the shard contains the target with the highest score for the chat
	 */
	public boolean isHomeShard(ShardId shard, long chatHash) {
		List<ShardTargetHashes> candidates = this.shardsByPool.getOrDefault(shard.pool(), List.of());
		long shardScore = 0;
		for (ShardTargetHashes candidate : candidates) {
			shardScore = candidate.shard().equals(shard) ? candidate.bestScore(chatHash) : shardScore;
		}
		for (ShardTargetHashes candidate : candidates) {
			if (Long.compareUnsigned(candidate.bestScore(chatHash), shardScore) > 0) {
				return false;
			}
		}
		return true;
	}

	private record ScoredShard(ShardId shard, long score) {

	}

	private record ShardTargetHashes(ShardId shard, long[] targetHashes) {

		long bestScore(long chatHash) {
			long bestScore = 0;
			for (long targetHash : this.targetHashes) {
				long score = RendezvousHash.score(chatHash, targetHash);
				bestScore = (Long.compareUnsigned(score, bestScore) > 0) ? score : bestScore;
			}
			return bestScore;
		}

	}

}
