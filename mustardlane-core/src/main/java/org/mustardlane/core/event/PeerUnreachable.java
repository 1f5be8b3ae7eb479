package org.mustardlane.core.event;

import org.mustardlane.core.common.VmId;
import org.mustardlane.core.message.PeerMessage;

/**
 * A message could not be handed to another router.
 *
 * @param peer the other router
 * @param message the message
 */
public record PeerUnreachable(VmId peer, PeerMessage message) implements NodeEvent {

}
