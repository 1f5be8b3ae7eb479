package org.mustardlane.core.message;

/**
 * Requests the catalogue records that the sender is missing.
 *
 * @param fromOffset first missing offset
 */
public record CatalogueRelayRequest(long fromOffset) implements PeerMessage {

}
