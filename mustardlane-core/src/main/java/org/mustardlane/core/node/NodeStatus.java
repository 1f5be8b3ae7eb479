package org.mustardlane.core.node;

import java.util.List;
import java.util.Map;

import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.VmHeartbeat;

/**
 * The state of a router and its view of the fleet.
 *
 * @param settings startup settings of the node
 * @param catalogueRevision revision of the catalogue that is effective on this router
 * @param draining whether the router is draining
 * @param requestsInFlight number of requests that are not finished
 * @param lastPlatformContactMillis time of the last reply of the platform, 0 if there was
 * none
 * @param peers the newest heartbeat of each other router
 * @param livePeers the other routers that this router considers alive
 * @param shardOwners the owner of each shard, as seen by this router
 * @param ownedShardLoads the loads of the shards that this router owns
 */
public record NodeStatus(NodeSettings settings, long catalogueRevision, boolean draining, int requestsInFlight,
		long lastPlatformContactMillis, List<VmHeartbeat> peers, List<VmId> livePeers, Map<ShardId, VmId> shardOwners,
		List<ShardLoad> ownedShardLoads) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public NodeStatus {
		peers = List.copyOf(peers);
		livePeers = List.copyOf(livePeers);
		shardOwners = Map.copyOf(shardOwners);
		ownedShardLoads = List.copyOf(ownedShardLoads);
	}

}
