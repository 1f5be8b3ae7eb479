package org.mustardlane.router.target;

import java.util.Optional;

import org.mustardlane.core.event.StartAttempt;

/**
 * An attempt with all that is sent to its target.
 *
 * @param start what the node wants
 * @param contentType media type of the body, empty where the caller gave none
 * @param body the caller's body, on a continuation followed by the bytes already
 * delivered
 * @param chatHash the chat as a hash in hexadecimal
 * @param idempotencyKey the caller's key
 */
public record AttemptRequest(StartAttempt start, String contentType, byte[] body, Optional<String> chatHash,
		Optional<String> idempotencyKey) {

	/**
	 * Returns the name of the attempt as the target echoes it.
	 * @return request and number of the attempt
	 */
	public String attemptName() {
		return this.start.requestId() + "/" + this.start.attempt();
	}

}
