package org.mustardlane.gateway.wire;

import java.util.Optional;
import java.util.OptionalLong;

import org.mustardlane.core.placement.SharedPrefix;

/**
 * The head of a call as the caller sent it.
 *
 * @param requestId name of the call, given by the caller
 * @param host host, with or without a port
 * @param path path without its query, byte for byte
 * @param key key of the organisation, empty where none was sent
 * @param patienceMillis how long the caller waits from the arrival of the head on, empty
 * where it does not say
 * @param prefix the part of the prompt that other calls share, empty where there is none
 */
public record CallHead(String requestId, String host, String path, Optional<String> key, OptionalLong patienceMillis,
		Optional<SharedPrefix> prefix) {

}
