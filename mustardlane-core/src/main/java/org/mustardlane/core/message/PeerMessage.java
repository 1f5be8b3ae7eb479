package org.mustardlane.core.message;

/**
 * A message from one router to another.
 */
public sealed interface PeerMessage permits GrantAsk, GrantAnswer, GrantRelease, GrantRenewal, ShardLoad, ClaimAsk,
		ClaimAnswer, ClaimRelease, ClaimCompletion, Gossip, CatalogueRelayAsk, CatalogueRelay, VmListRelay {

}
