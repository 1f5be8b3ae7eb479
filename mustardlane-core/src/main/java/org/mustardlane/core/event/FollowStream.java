package org.mustardlane.core.event;

import org.mustardlane.core.model.log.StreamName;

/**
 * Reads a stream from an offset and keeps following it.
 *
 * @param stream the stream
 * @param fromOffset first offset to read
 */
public record FollowStream(StreamName stream, long fromOffset) implements NodeAction {

}
