package org.mustardlane.core.message;

import org.mustardlane.core.model.common.ShardId;

/**
 * The load of a shard, sent by its owner to the owners of the other shards of the pool.
 *
 * @param shard the shard
 * @param version increases with each message of the owner, starting from its incarnation
 * @param granted number of requests that hold a grant on an open target
 * @param queued number of requests in the queue
 * @param openTargets number of targets that accept new work
 * @param slots number of requests that the open targets can run concurrently
 */
public record ShardLoad(ShardId shard, long version, int granted, int queued, int openTargets,
		int slots) implements PeerMessage {

}
