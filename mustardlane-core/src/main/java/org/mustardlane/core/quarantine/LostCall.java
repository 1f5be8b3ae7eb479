package org.mustardlane.core.quarantine;

import java.util.List;

import org.mustardlane.core.model.common.PromptPartId;
import org.mustardlane.core.model.common.TargetId;

/**
 * A call whose engine ended the connection before the response had started.
 *
 * @param target the engine
 * @param requestId id of the call
 * @param parts the shared parts of the prompt, in order
 * @param lostAtMillis time at which the connection ended
 */
public record LostCall(TargetId target, String requestId, List<PromptPartId> parts, long lostAtMillis) {

	/**
	 * Copies the parts.
	 */
	public LostCall {
		parts = List.copyOf(parts);
	}

}
