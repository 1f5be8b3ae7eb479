package org.mustardlane.gateway.knowledge;

import java.util.List;

/**
 * Is told what a topic holds; called on the event loop of the daemon.
 */
public interface TopicListener {

	/**
	 * The newest records of all keys were read.
	 * @param records the records
	 * @param endOffset end of the topic when the reading began
	 */
	void onSnapshot(List<KeyedRecord> records, long endOffset);

	/**
	 * Records were read in order.
	 * @param records the records
	 */
	void onRecords(List<KeyedRecord> records);

	/**
	 * The topic can not be read.
	 * @param reason what the log said
	 */
	void onUnavailable(String reason);

	/**
	 * The topic can be read again.
	 */
	void onAvailable();

}
