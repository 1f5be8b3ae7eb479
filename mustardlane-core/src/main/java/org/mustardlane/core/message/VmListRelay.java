package org.mustardlane.core.message;

import org.mustardlane.core.model.membership.VmList;

/**
 * The VM list from a peer.
 *
 * @param vmList the list
 */
public record VmListRelay(VmList vmList) implements PeerMessage {

}
