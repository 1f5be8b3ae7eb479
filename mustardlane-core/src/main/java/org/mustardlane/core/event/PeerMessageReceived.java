package org.mustardlane.core.event;

import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.common.VmId;

/**
 * A message from another router has arrived.
 *
 * @param sender the VM of the router that sent the message
 * @param message the message
 */
public record PeerMessageReceived(VmId sender, PeerMessage message) implements NodeEvent {

}
