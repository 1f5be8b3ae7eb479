package org.mustardlane.core.event;

import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.common.VmId;

/**
 * A message could not be handed to another router.
 *
 * @param peer the other router
 * @param message the message
 */
public record PeerUnreachable(VmId peer, PeerMessage message) implements NodeEvent {

}
