package org.mustardlane.core.event;

import org.mustardlane.core.model.log.StreamName;

/**
 * An append has ended.
 *
 * @param stream the stream
 * @param appendId the append
 * @param result what became of it
 * @param firstOffset offset of the first record, -1 without one
 */
public record LogAppendEnded(StreamName stream, String appendId, AppendResult result,
		long firstOffset) implements NodeEvent {

}
