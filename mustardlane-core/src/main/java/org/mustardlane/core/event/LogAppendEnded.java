package org.mustardlane.core.event;

import org.mustardlane.core.model.log.StreamName;

/**
 * An append to the log has ended.
 *
 * @param stream the stream
 * @param appendId identifier of the append
 * @param result result of the append
 * @param firstOffset offset of the first appended record, -1 if unknown
 */
public record LogAppendEnded(StreamName stream, String appendId, AppendResult result,
		long firstOffset) implements NodeEvent {

}
