package org.mustardlane.gateway.wire;

import java.util.Optional;

/**
 * The stream that a call continues, because the connection of its caller has broken off.
 *
 * @param requestId id of the caller's request that brought the first event of the stream,
 * empty if the caller does not name it
 * @param lastEventId id of the last event that the caller has received
 */
public record Resumption(Optional<String> requestId, String lastEventId) {

}
