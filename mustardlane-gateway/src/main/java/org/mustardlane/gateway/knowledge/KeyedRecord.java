package org.mustardlane.gateway.knowledge;

import java.util.Optional;

/**
 * A record of a topic.
 *
 * @param key its key
 * @param offset its position
 * @param body its body, empty where it removes the key
 */
public record KeyedRecord(String key, long offset, Optional<byte[]> body) {

}
