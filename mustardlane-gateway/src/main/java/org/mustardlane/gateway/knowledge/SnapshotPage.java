package org.mustardlane.gateway.knowledge;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.directory.LogPosition;

/**
 * One page of the snapshot of a topic, which holds the newest record of each key.
 *
 * @param records records of the page
 * @param end end of the topic when the page was read
 * @param continueAfterKey key after which the next page starts, empty on the last page
 */
public record SnapshotPage(List<KeyedRecord> records, LogPosition end, Optional<String> continueAfterKey) {

	/**
	 * Makes an unmodifiable copy of the records.
	 */
	public SnapshotPage {
		records = List.copyOf(records);
	}

}
