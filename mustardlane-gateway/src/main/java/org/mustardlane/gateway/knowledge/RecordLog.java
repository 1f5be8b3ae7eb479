package org.mustardlane.gateway.knowledge;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's log, as far as the daemon uses it.
 *
 * <p>
 * Calls return at once; their stages end on any thread and fail with a
 * {@link RecordLogException}.
 */
public interface RecordLog {

	/**
	 * Reads the newest record of each key.
	 * @param topic the topic
	 * @param after key after which to begin, empty for the first page
	 * @return a page
	 */
	CompletionStage<KeyedPage> newest(Topic topic, Optional<String> after);

	/**
	 * Reads on from an offset.
	 * @param topic the topic
	 * @param fromOffset first wanted offset
	 * @param waitMillis how long the platform may wait for a record
	 * @return the records
	 */
	CompletionStage<LogRead> read(Topic topic, long fromOffset, int waitMillis);

	/**
	 * Appends a record.
	 * @param topic the topic
	 * @param key key of the record
	 * @param body the record
	 * @return ends once the record is stored; a failure leaves it open whether it is
	 */
	CompletionStage<Void> put(Topic topic, String key, byte[] body);

}
