package org.mustardlane.core.event;

import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.common.VmId;

/**
 * Sends a message to another router.
 *
 * @param peer the VM of the other router
 * @param message the message
 */
public record SendPeer(VmId peer, PeerMessage message) implements NodeAction {

}
