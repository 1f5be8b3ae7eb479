package org.mustardlane.gateway.knowledge;

import java.util.Optional;

/**
 * A record of a topic.
 *
 * @param key key of the record
 * @param offset offset of the record within the topic
 * @param body body of the record, empty if the record removes its key
 */
public record KeyedRecord(String key, long offset, Optional<byte[]> body) {

}
