package org.mustardlane.core.event;

import java.util.Optional;

import org.mustardlane.core.model.common.RequestId;

/**
 * The head of a response has arrived from a target.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 * @param status HTTP status code
 * @param generationId identifier of the generation at the engine, empty if the target
 * sent none
 */
public record AttemptHeadReceived(RequestId requestId, int attempt, int status,
		Optional<String> generationId) implements NodeEvent {

}
