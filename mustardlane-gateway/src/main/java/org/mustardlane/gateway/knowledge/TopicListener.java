package org.mustardlane.gateway.knowledge;

import java.util.List;

import org.mustardlane.core.directory.LogPosition;

/**
 * Receives the records of a topic, on the event loop of the daemon.
 */
public interface TopicListener {

	/**
	 * Called after a complete snapshot was read.
	 * @param records newest record of each key
	 * @param end end of the topic when the read of the snapshot began
	 */
	void onSnapshot(List<KeyedRecord> records, LogPosition end);

	/**
	 * Called after records that follow the snapshot were read.
	 * @param records records in the order of the log
	 */
	void onRecords(List<KeyedRecord> records);

	/**
	 * Called if the log turns out to have been restored from an older copy, before the
	 * records of the first response from the restored log are passed on.
	 * @param before position from which the topic was to be read next
	 * @param end end of the topic in the restored log
	 */
	void onRestored(LogPosition before, LogPosition end);

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
