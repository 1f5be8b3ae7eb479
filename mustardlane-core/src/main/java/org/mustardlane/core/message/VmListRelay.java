package org.mustardlane.core.message;

import org.mustardlane.core.model.membership.VmList;

/**
 * Relays the VM list to a peer.
 *
 * @param vmList the VM list
 */
public record VmListRelay(VmList vmList) implements PeerMessage {

}
