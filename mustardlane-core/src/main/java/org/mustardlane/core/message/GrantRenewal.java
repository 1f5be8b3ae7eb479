package org.mustardlane.core.message;

import java.util.List;

import org.mustardlane.core.model.common.ShardId;

/**
 * Renews all grants of a shard that the sender still uses.
 *
 * @param shard the shard
 * @param grants the grants in use
 */
public record GrantRenewal(ShardId shard, List<HeldGrant> grants) implements PeerMessage {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public GrantRenewal {
		grants = List.copyOf(grants);
	}

}
