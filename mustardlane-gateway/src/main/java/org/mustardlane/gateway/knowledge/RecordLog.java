package org.mustardlane.gateway.knowledge;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * Client of the platform's log.
 *
 * <p>
 * All methods return at once. The returned stages complete on any thread, and a failure
 * is a {@link RecordLogException}.
 */
public interface RecordLog {

	/**
	 * Reads one page of the snapshot of a topic, which holds the newest record of each
	 * key.
	 * @param topic the topic
	 * @param after key after which the page starts, empty for the first page
	 * @return completes with the page
	 */
	CompletionStage<SnapshotPage> readSnapshot(Topic topic, Optional<String> after);

	/**
	 * Reads the records from an offset on.
	 * @param topic the topic
	 * @param fromOffset offset of the first record to read
	 * @param waitMillis how long the platform may hold the read until a record arrives
	 * @return completes with the records
	 */
	CompletionStage<RecordBatch> read(Topic topic, long fromOffset, int waitMillis);

	/**
	 * Appends a record.
	 * @param topic the topic
	 * @param key key of the record
	 * @param body body of the record
	 * @return completes once the record is stored; after a failure the record may be
	 * stored or not
	 */
	CompletionStage<Void> append(Topic topic, String key, byte[] body);

	/**
	 * Closes the connections that are not in use, so that the next request is sent over a
	 * new one.
	 */
	void dropIdleConnections();

}
