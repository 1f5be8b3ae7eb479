package org.mustardlane.core.quarantine;

import java.util.List;

import org.mustardlane.core.model.common.PromptPartId;
import org.mustardlane.core.model.common.TargetId;

/**
 * A response that an engine has started without crashing.
 *
 * @param target the engine
 * @param parts the shared parts of the prompt, in order
 * @param startedAtMillis time from which the engine is known to have survived the start
 */
public record StartedResponse(TargetId target, List<PromptPartId> parts, long startedAtMillis) {

	/**
	 * Copies the parts.
	 */
	public StartedResponse {
		parts = List.copyOf(parts);
	}

}
