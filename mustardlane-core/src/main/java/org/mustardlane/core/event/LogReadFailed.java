package org.mustardlane.core.event;

import org.mustardlane.core.model.log.StreamName;

/**
 * A followed stream could not be read.
 *
 * @param stream the stream
 * @param detail why
 */
public record LogReadFailed(StreamName stream, String detail) implements NodeEvent {

}
