package org.mustardlane.gateway.knowledge;

import java.util.List;
import java.util.Optional;

/**
 * A page of the newest records of a topic.
 *
 * @param records the records
 * @param endOffset end of the topic when the page was read
 * @param continueAfter key after which the next page begins, empty on the last page
 */
public record KeyedPage(List<KeyedRecord> records, long endOffset, Optional<String> continueAfter) {

	/**
	 * Copies the records.
	 */
	public KeyedPage {
		records = List.copyOf(records);
	}

}
