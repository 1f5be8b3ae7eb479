package org.mustardlane.core.message;

/**
 * A message from one router to another.
 */
public sealed interface PeerMessage
		permits GrantRequest, GrantReply, GrantRelease, GrantRenewal, ShardLoad, ClaimRequest, ClaimReply, ClaimRelease,
		ClaimCompletion, Gossip, CatalogueRelayRequest, CatalogueRelay, VmListRelay {

}
