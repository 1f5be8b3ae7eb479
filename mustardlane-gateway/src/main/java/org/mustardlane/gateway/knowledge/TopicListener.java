package org.mustardlane.gateway.knowledge;

import java.util.List;

/**
 * Receives the records of a topic, on the event loop of the daemon.
 */
public interface TopicListener {

	/**
	 * Called after a complete snapshot was read.
	 * @param records newest record of each key
	 * @param endOffset end offset of the topic when the read of the snapshot began
	 */
	void onSnapshot(List<KeyedRecord> records, long endOffset);

	/**
	 * Called after records that follow the snapshot were read.
	 * @param records records in the order of the log
	 */
	void onRecords(List<KeyedRecord> records);

	/**
	 * Called if the topic cannot be read.
	 * @param reason error of the read
	 */
	void onUnavailable(String reason);

	/**
	 * Called if the topic can be read again.
	 */
	void onAvailable();

}
