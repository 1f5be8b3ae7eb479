package org.mustardlane.gateway.knowledge;

import java.util.List;

/**
 * The records of a topic from an offset on.
 *
 * @param records the records in order
 * @param nextOffset offset after the last of them
 * @param expired whether records from the wanted offset on are no longer kept
 */
public record LogRead(List<KeyedRecord> records, long nextOffset, boolean expired) {

	/**
	 * Copies the records.
	 */
	public LogRead {
		records = List.copyOf(records);
	}

	/**
	 * Creates the answer for an offset that is no longer kept.
	 * @return a read without records
	 */
	public static LogRead ofExpired() {
		return new LogRead(List.of(), 0, true);
	}

}
