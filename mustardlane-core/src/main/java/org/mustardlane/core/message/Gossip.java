package org.mustardlane.core.message;

import java.util.List;

import org.mustardlane.core.model.membership.VmHeartbeat;

/**
 * The fleet state known to a router, sent to a random peer.
 *
 * @param heartbeats heartbeats of routers that the sender knows
 * @param catalogueRevision the newest catalogue revision of the sender
 * @param vmListVersion version of the newest VM list of the sender
 * @param shardLoads the loads of shards
 */
public record Gossip(List<VmHeartbeat> heartbeats, long catalogueRevision, long vmListVersion,
		List<ShardLoad> shardLoads) implements PeerMessage {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public Gossip {
		heartbeats = List.copyOf(heartbeats);
		shardLoads = List.copyOf(shardLoads);
	}

}
