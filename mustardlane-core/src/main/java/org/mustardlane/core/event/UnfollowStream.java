package org.mustardlane.core.event;

import org.mustardlane.core.model.log.StreamName;

/**
 * Stop reading a stream.
 *
 * @param stream the stream
 */
public record UnfollowStream(StreamName stream) implements NodeAction {

}
