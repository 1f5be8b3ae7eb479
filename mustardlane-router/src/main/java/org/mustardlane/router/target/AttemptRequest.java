package org.mustardlane.router.target;

import java.util.Optional;

import org.mustardlane.core.event.StartAttempt;

/**
 * An attempt with everything that is sent to its target.
 *
 * @param action action of the node that started the attempt
 * @param contentType media type of the body, empty if the caller gave none
 * @param body the caller's body; when a response is continued, followed by the bytes
 * already delivered
 * @param chatHash hexadecimal hash of the chat id, empty if the request belongs to no
 * chat
 * @param idempotencyKey idempotency key of the caller, empty if the caller gave none
 */
public record AttemptRequest(StartAttempt action, String contentType, byte[] body, Optional<String> chatHash,
		Optional<String> idempotencyKey) {

	/**
	 * Returns the name of the attempt, which the target echoes.
	 * @return request id and number of the attempt
	 */
	public String attemptName() {
		return this.action.requestId() + "/" + this.action.attempt();
	}

}
