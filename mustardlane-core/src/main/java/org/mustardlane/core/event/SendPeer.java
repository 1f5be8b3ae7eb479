package org.mustardlane.core.event;

import org.mustardlane.core.common.VmId;
import org.mustardlane.core.message.PeerMessage;

/**
 * Send a message to another router.
 *
 * @param peer the other router
 * @param message the message
 */
public record SendPeer(VmId peer, PeerMessage message) implements NodeAction {

}
