package org.mustardlane.core.message;

import org.mustardlane.core.model.common.ShardId;

/**
 * The load of a shard, from its owner to the owners of the other shards of the pool.
 *
 * @param shard the shard
 * @param version grows with each message of the owner; starts from its incarnation
 * @param granted requests that hold a grant on an open target
 * @param queued requests that wait
 * @param openTargets targets that take new work
 * @param slots most requests that the open targets run at once
 */
public record ShardLoad(ShardId shard, long version, int granted, int queued, int openTargets,
		int slots) implements PeerMessage {

}
