package org.mustardlane.core.event;

import java.util.Optional;

import org.mustardlane.core.model.common.RequestId;

/**
 * The head of an answer has arrived.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 1
 * @param status HTTP status
 * @param generationId name under which the engine keeps the generation
 */
public record AttemptHeadReceived(RequestId requestId, int attempt, int status,
		Optional<String> generationId) implements NodeEvent {

}
