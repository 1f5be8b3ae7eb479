package org.mustardlane.core.node;

import java.util.List;
import java.util.Map;

import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.VmHeartbeat;

/**
 * What a router knows of itself and of the fleet.
 *
 * @param settings what the node was told at its start
 * @param catalogueRevision the newest catalogue revision in force here
 * @param draining whether the router is stopping
 * @param requestsInFlight requests that have no final word yet
 * @param lastPlatformContactMillis when the platform last answered, 0 if it never did
 * @param peers the newest sign of life of each other router
 * @param livePeers the other routers that this router takes for alive
 * @param shardOwners the owner of each shard, as this router sees it
 * @param ownLoads the loads of the shards that this router owns
 */
public record NodeStatus(NodeSettings settings, long catalogueRevision, boolean draining, int requestsInFlight,
		long lastPlatformContactMillis, List<VmHeartbeat> peers, List<VmId> livePeers, Map<ShardId, VmId> shardOwners,
		List<ShardLoad> ownLoads) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public NodeStatus {
		peers = List.copyOf(peers);
		livePeers = List.copyOf(livePeers);
		shardOwners = Map.copyOf(shardOwners);
		ownLoads = List.copyOf(ownLoads);
	}

}
