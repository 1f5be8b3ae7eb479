package org.mustardlane.core.event;

import org.mustardlane.core.model.log.StreamName;

/**
 * Stops following a stream.
 *
 * @param stream the stream
 */
public record UnfollowStream(StreamName stream) implements NodeAction {

}
