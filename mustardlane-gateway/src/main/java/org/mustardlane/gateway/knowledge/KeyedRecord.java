package org.mustardlane.gateway.knowledge;

import java.util.Optional;

import org.mustardlane.core.directory.LogPosition;

/**
 * A record of a topic.
 *
 * @param key key of the record
 * @param position position of the record within the topic
 * @param body body of the record, empty if the record removes its key
 */
public record KeyedRecord(String key, LogPosition position, Optional<byte[]> body) {

}
