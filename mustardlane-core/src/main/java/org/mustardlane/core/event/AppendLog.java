package org.mustardlane.core.event;

import java.util.List;

import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * Append records in one step.
 *
 * @param stream the stream
 * @param appendId names the append in its {@link LogAppendEnded}
 * @param records the records
 */
public record AppendLog(StreamName stream, String appendId, List<RecordBody> records) implements NodeAction {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public AppendLog {
		records = List.copyOf(records);
	}

}
