package org.mustardlane.core.event;

import org.mustardlane.core.model.log.StreamName;

/**
 * A read of a followed stream has failed.
 *
 * @param stream the stream
 * @param detail description of the failure
 */
public record LogReadFailed(StreamName stream, String detail) implements NodeEvent {

}
