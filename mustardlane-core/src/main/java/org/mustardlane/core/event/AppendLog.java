package org.mustardlane.core.event;

import java.util.List;

import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * Appends records to a stream atomically.
 *
 * @param stream the stream
 * @param appendId identifier of the append, repeated in its {@link LogAppendEnded}
 * @param records the records, in order
 */
public record AppendLog(StreamName stream, String appendId, List<RecordBody> records) implements NodeAction {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public AppendLog {
		records = List.copyOf(records);
	}

}
