package org.mustardlane.core.event;

import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.common.VmId;

/**
 * A message could not be sent to another router.
 *
 * @param peer the VM of the other router
 * @param message the message that was not sent
 */
public record PeerUnreachable(VmId peer, PeerMessage message) implements NodeEvent {

}
