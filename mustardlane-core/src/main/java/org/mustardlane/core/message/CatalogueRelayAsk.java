package org.mustardlane.core.message;

/**
 * Asks a peer for the catalogue records that the sender lacks.
 *
 * @param fromOffset first missing offset
 */
public record CatalogueRelayAsk(long fromOffset) implements PeerMessage {

}
