package org.mustardlane.core.message;

import java.util.List;

import org.mustardlane.core.model.membership.VmHeartbeat;

/**
 * What a router knows of the fleet, told to a random peer.
 *
 * @param heartbeats signs of life
 * @param catalogueRevision the newest catalogue revision of the sender
 * @param vmListVersion the newest VM list of the sender
 * @param shardLoads loads of shards
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
