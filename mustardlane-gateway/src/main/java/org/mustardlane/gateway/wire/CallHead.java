package org.mustardlane.gateway.wire;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.mustardlane.core.model.common.PromptPartId;
import org.mustardlane.core.placement.SharedPrefix;

/**
 * Head of a call as the caller sent it.
 *
 * @param requestId id that the caller gave to the call
 * @param host host, with or without a port
 * @param path path without the query, byte for byte
 * @param apiKey API key of the organisation, empty if the caller sent none
 * @param timeoutMillis timeout of the caller, counted from the arrival of the head, empty
 * if the caller states none
 * @param prefix prefix of the prompt that is shared with other calls, empty if there is
 * none
 * @param resumption the stream that the call continues, empty if it starts anew
 */
public record CallHead(String requestId, String host, String path, Optional<String> apiKey, OptionalLong timeoutMillis,
		Optional<SharedPrefix> prefix, Optional<Resumption> resumption) {

	/**
	 * Returns the parts of the prompt that other calls share.
	 * @return the parts in order, empty if there are none
	 */
	public List<PromptPartId> sharedParts() {
		return this.prefix.map(SharedPrefix::parts).orElse(List.of());
	}

}
